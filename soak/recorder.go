package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

// span is a time in which something was wrong or under way.
type span struct {
	name     string
	affects  faultScope
	box      string // that was drawn
	from, to time.Time
}

// asked is a request with what came of it.
type exchange struct {
	request         standin.Request
	organisation    string // of its key
	atMostOnce      bool
	routeVersion    int // the version of the configuration that brought the route
	box             string
	boxStart        int // of the box, when it was asked
	sentAt, endedAt time.Time
	reply           standin.Reply
}

// Violation is a promise that was seen broken.
type Violation struct {
	Guarantee string
	Details   string
}

// ledger keeps what was seen. Its methods may be called from any goroutine.
type recorder struct {
	mu                sync.Mutex
	runs              map[string][]standin.Run // by request
	exchanges         []exchange
	faults            []span               // faults; planned work is not among them
	stops             map[string][]span    // planned stops, by box
	drainingSince     map[string]time.Time // when the store took that a target leaves
	configStoredAt    map[int]time.Time    // when the store took a version
	rejected          []standin.Turned     // requests that targets turned away which ask for rest
	leavingReportedAt map[string]time.Time // when a target began to say with its answers that it leaves
	limitPeriods      []limitPeriod        // times in which targets named limits
	limitSummaries    []string             // what was sent in them
}

func newRecorder() *recorder {
	return &recorder{
		runs: map[string][]standin.Run{}, stops: map[string][]span{}, drainingSince: map[string]time.Time{}, configStoredAt: map[int]time.Time{},
		leavingReportedAt: map[string]time.Time{},
	}
}

func (rec *recorder) addRun(r standin.Run) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.runs[r.ID] = append(rec.runs[r.ID], r)
}

func (rec *recorder) addExchange(ex exchange) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.exchanges = append(rec.exchanges, ex)
}

func (rec *recorder) addFault(a action, box string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.faults = append(rec.faults, span{a.name, a.affects, box, from, to})
}

func (rec *recorder) addStop(box string, from, to time.Time) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.stops[box] = append(rec.stops[box], span{"stop", scopeNone, box, from, to})
}

func (rec *recorder) markDraining(target string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainingSince[target] = time.Now()
}

func (rec *recorder) markConfigStored(version int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.configStoredAt[version] = time.Now()
}

// contact is how long all must have been calm before a bound in time holds.
const contactBound = 3 * time.Second

// slack is what the bounds are widened by, for a machine that is busy with the run
// itself.
const timingSlack = 1500 * time.Millisecond

// calm reports that nothing was wrong with the subjects, as the box meets them, from
// contact before the one time until the other.
func (rec *recorder) faultFree(box string, from, to time.Time, with ...faultScope) bool {
	for _, s := range rec.faults {
		own := s.box == box || s.affects == scopeStore || s.affects == scopeTarget
		if own && slices.Contains(with, s.affects) && s.from.Before(to) && s.to.After(from.Add(-contactBound)) {
			return false
		}
	}
	return true
}

// violations checks all that was seen.
func (rec *recorder) violations() []Violation {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var list []Violation
	violate := func(promise, format string, args ...any) {
		list = append(list, Violation{promise, fmt.Sprintf(format, args...)})
	}
	for _, ex := range rec.exchanges {
		rec.checkReply(ex, violate)
		rec.checkDraining(ex, violate)
	}
	rec.checkConfigurations(violate)
	rec.checkFatalRequests(violate)
	rec.checkRest(violate)
	rec.checkLeavingReported(violate)
	rec.checkLimits(violate)
	return list
}

type violationFunc func(promise, format string, args ...any)

func (rec *recorder) checkReply(ex exchange, violate violationFunc) {
	runs := rec.runs[ex.request.ID]
	switch {
	case ex.reply.Wrong != "":
		violate("own answer", "%s by %s: %s", ex.request.ID, ex.box, ex.reply.Wrong)
	case ex.reply.NotRun() && len(runs) > 0:
		violate("not run", "%s by %s: answered %d, ran at %s", ex.request.ID, ex.box, ex.reply.Status, runs[0].Target)
	}
	checkRetryAfter(ex, violate)
	if ex.atMostOnce && len(runs) > 1 {
		violate("at most once", "%s by %s: ran at %s and %s", ex.request.ID, ex.box, runs[0].Target, runs[1].Target)
	}
	for _, r := range runs {
		if r.KeyShown || r.Organisation != ex.organisation {
			violate("keys", "%s by %s: the target saw the organisation %q, key shown: %v", ex.request.ID, ex.box, r.Organisation, r.KeyShown)
		}
	}
	if ex.reply.Err == nil || ex.reply.Refused() || ex.reply.LeftByCaller() {
		return
	}
	for _, s := range rec.stops[ex.box] {
		if ex.sentAt.Before(s.to) && ex.endedAt.After(s.from) && rec.faultFree(ex.box, ex.sentAt, ex.endedAt, scopeBox, scopeTarget) {
			violate("planned stop", "%s by %s: %v, %v after the signal", ex.request.ID, ex.box, ex.reply.Err, ex.endedAt.Sub(s.from))
		}
	}
}

// checkRefusal looks for a caller that was turned away for want of room and not told when
// to come again.
func checkRetryAfter(ex exchange, violate violationFunc) {
	full := ex.reply.Status == http.StatusServiceUnavailable || ex.reply.Status == http.StatusTooManyRequests
	if full && ex.reply.Again <= 0 {
		violate("come back", "%s by %s: answered %d without saying when to come again", ex.request.ID, ex.box, ex.reply.Status)
	}
}

// checkLeaving looks for work that came to a target which had left.
func (rec *recorder) checkDraining(ex exchange, violate violationFunc) {
	for _, r := range rec.runs[ex.request.ID] {
		at, left := rec.drainingSince[r.Target]
		bound := at.Add(drainBound + timingSlack)
		if left && r.At.After(bound) && rec.faultFree(ex.box, at, r.At, scopeBox, scopeBoxStore, scopeStore) {
			violate("draining", "%s by %s ran at %s %v after that was leaving", ex.request.ID, ex.box, r.Target, r.At.Sub(at))
		}
	}
}

// checkConfigurations looks for boxes that went back to an older configuration, or were
// late to take one.
func (rec *recorder) checkConfigurations(violate violationFunc) {
	list := append([]exchange(nil), rec.exchanges...)
	sort.Slice(list, func(i, j int) bool { return list[i].sentAt.Before(list[j].sentAt) })
	type process struct {
		box string
		n   int
	}
	newest := map[process]exchange{} // the newest version that it has shown
	for _, ex := range list {
		if ex.boxStart == unknownStart {
			continue
		}
		key := process{ex.box, ex.boxStart}
		switch {
		case ex.reply.Status == 200 && ex.routeVersion >= newest[key].routeVersion:
			if before, ok := newest[key]; !ok || ex.routeVersion > before.routeVersion {
				newest[key] = ex
			}
		case ex.reply.Status == 404:
			if k := newest[key]; k.routeVersion >= ex.routeVersion && k.endedAt.Before(ex.sentAt) {
				violate("configuration", "%s went back before version %d after showing %d", ex.box, ex.routeVersion, k.routeVersion)
			}
			if at := rec.configStoredAt[ex.routeVersion]; ex.sentAt.After(at.Add(configApplyBound+timingSlack)) && rec.faultFree(ex.box, at, ex.endedAt, scopeBox, scopeBoxStore, scopeStore) {
				violate("configuration", "%s did not know version %d %v after it was taken", ex.box, ex.routeVersion, ex.sentAt.Sub(at))
			}
		}
	}
}
