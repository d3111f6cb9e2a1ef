package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// LetDown takes that the target had a request of this box and did not answer it as it
// should, in a way that is its own fault. It reports whether other boxes should learn of it
// at once, and whether the target is ejected now.
func (r *Roster) LetDown(now time.Time, id domain.InstanceID) (tell, ejected bool) {
	e, ok := r.of(id)
	if !ok {
		return false, false
	}
	first := r.let.Own(now, id)
	ejected = r.judge(now, e)
	return first && !r.sharedTrouble(now, e.target.Service()), ejected
}

// Complained takes another box's complaint, and reports whether its target is ejected now.
func (r *Roster) Complained(now time.Time, c Complaint) bool {
	e, ok := r.of(c.Target)
	if !ok {
		return false
	}
	r.let.Heard(c)
	return r.judge(now, e)
}

// Complaints are those that this box knows of, for others.
func (r *Roster) Complaints(now time.Time) []Complaint { return r.let.Tell(now) }

// judge ejects a target that enough boxes complain of. One that was ejected for that a
// while ago is tried by the first box that takes it back: one complaint is enough then.
func (r *Roster) judge(now time.Time, e *entry) bool {
	enough := accusers
	if e.health.onProbation(now) {
		enough = 1
	}
	if e.health.ejected(now) || r.let.Against(now, e.target.ID(), e.health.ejectedTo) < enough || r.sharedTrouble(now, e.target.Service()) {
		return false
	}
	e.health.accuse(now, r.policy)
	return true
}

// sharedTrouble reports that too many targets of the service are complained of at once, or
// out of use already, for one more to be ejected.
func (r *Roster) sharedTrouble(now time.Time, svc domain.ServiceName) bool {
	blamed, ejected, all := 0, 0, 0
	for _, e := range r.entries {
		if e.target.Service() != svc || !e.goneAt.IsZero() {
			continue
		}
		all++
		if r.let.Against(now, e.target.ID(), time.Time{}) > 0 {
			blamed++
		}
		if e.health.ejected(now) {
			ejected++
		}
	}
	return float64(max(blamed, ejected)) > blamedMost*float64(all)
}
