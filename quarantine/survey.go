package quarantine

import (
	"math/rand/v2"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

const (
	// SurveyDelay is the time from a quarantine that this box found until it asks other targets whether they ended too.
	// By then the ends that other boxes have observed are known, and the record is not written yet (settleTime).
	SurveyDelay = settleTime / 2
	// surveySize is the number of targets that are asked. If half of them ended at once, it hardly happens that fewer than
	// minOthers of them did.
	surveySize = 8
	// surveyPause is the time after an end that was cleared in which a survey clears no more ends of that work. Targets that ended
	// for another reason stay listed for some seconds, and would explain each further end.
	surveyPause = 30 * time.Second
)

// ToSurvey draws the targets to ask, of the others that run the same program: not those that are known to have ended under
// this or other works, which the evidence contains already. It returns none if the work is not in quarantine any more, or
// had ends cleared lately.
func (r *Register) ToSurvey(now time.Time, d call.Digest, others []domain.Target, rnd *rand.Rand) []domain.Target {
	w, known := r.works[d]
	if !known || !now.Before(r.term(d).until) || w.cleared.since(now.Add(-surveyPause)) {
		return nil
	}
	var list []domain.Target
	for _, i := range rnd.Perm(len(others)) {
		if _, ended := r.recent.ends[others[i].ID()]; !ended && len(list) < surveySize {
			list = append(list, others[i])
		}
	}
	return list
}

// ObserveSurvey records how many of the targets that were asked have ended. If that shows that those which ended under the
// work did so for a common cause, their ends are cleared, so that other boxes, which have not asked, drop them too.
func (r *Register) ObserveSurvey(now time.Time, d call.Digest, ended int) Change {
	w, known := r.works[d]
	if !known || ended < minOthers || !now.Before(r.term(d).until) {
		return Unchanged
	}
	w.clear(now)
	w.updated = now
	r.version++
	return Released
}
