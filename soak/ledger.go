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
	what     string
	hits     subject
	box      string // that was drawn
	from, to time.Time
}

// asked is a request with what came of it.
type asked struct {
	request  standin.Request
	owner    string // of its key
	once     bool
	route    int // the version of the configuration that brought the route
	box      string
	life     int // of the box, when it was asked
	from, to time.Time
	reply    standin.Reply
}

// Violation is a promise that was seen broken.
type Violation struct {
	Guarantee string
	Details   string
}

// ledger keeps what was seen. Its methods may be called from any goroutine.
type ledger struct {
	mu     sync.Mutex
	runs   map[string][]standin.Run // by request
	asked  []asked
	spans  []span               // faults; planned work is not among them
	stops  map[string][]span    // planned stops, by box
	left   map[string]time.Time // when the store took that a target leaves
	config map[int]time.Time    // when the store took a version
	turned []standin.Turned     // requests that targets turned away which ask for rest
	said   map[string]time.Time // when a target began to say with its answers that it leaves
	limits []limited            // times in which targets named limits
	notes  []string             // what was sent in them
}

func newLedger() *ledger {
	return &ledger{
		runs: map[string][]standin.Run{}, stops: map[string][]span{}, left: map[string]time.Time{}, config: map[int]time.Time{},
		said: map[string]time.Time{},
	}
}

func (l *ledger) ran(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.ID] = append(l.runs[r.ID], r)
}

func (l *ledger) add(a asked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, a)
}

func (l *ledger) fault(a act, box string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, span{a.name, a.hits, box, from, to})
}

func (l *ledger) stop(box string, from, to time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops[box] = append(l.stops[box], span{"stop", nothing, box, from, to})
}

func (l *ledger) leaves(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left[target] = time.Now()
}

func (l *ledger) configured(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.config[version] = time.Now()
}

// contact is how long all must have been calm before a bound in time holds.
const contact = 3 * time.Second

// slack is what the bounds are widened by, for a machine that is busy with the run
// itself.
const slack = 1500 * time.Millisecond

// calm reports that nothing was wrong with the subjects, as the box meets them, from
// contact before the one time until the other.
func (l *ledger) calm(box string, from, to time.Time, with ...subject) bool {
	for _, s := range l.spans {
		own := s.box == box || s.hits == store || s.hits == target
		if own && slices.Contains(with, s.hits) && s.from.Before(to) && s.to.After(from.Add(-contact)) {
			return false
		}
	}
	return true
}

// violations checks all that was seen.
func (l *ledger) violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Violation
	broken := func(promise, format string, args ...any) {
		list = append(list, Violation{promise, fmt.Sprintf(format, args...)})
	}
	for _, a := range l.asked {
		l.checkReply(a, broken)
		l.checkLeaving(a, broken)
	}
	l.checkConfigurations(broken)
	l.checkFatal(broken)
	l.checkRests(broken)
	l.checkSaid(broken)
	l.checkLimits(broken)
	return list
}

type report func(promise, format string, args ...any)

func (l *ledger) checkReply(a asked, broken report) {
	runs := l.runs[a.request.ID]
	switch {
	case a.reply.Wrong != "":
		broken("own answer", "%s by %s: %s", a.request.ID, a.box, a.reply.Wrong)
	case a.reply.NotRun() && len(runs) > 0:
		broken("not run", "%s by %s: answered %d, ran at %s", a.request.ID, a.box, a.reply.Status, runs[0].Target)
	}
	checkRefusal(a, broken)
	if a.once && len(runs) > 1 {
		broken("at most once", "%s by %s: ran at %s and %s", a.request.ID, a.box, runs[0].Target, runs[1].Target)
	}
	for _, r := range runs {
		if r.KeyShown || r.Organisation != a.owner {
			broken("keys", "%s by %s: the target saw the organisation %q, key shown: %v", a.request.ID, a.box, r.Organisation, r.KeyShown)
		}
	}
	if a.reply.Err == nil || a.reply.Refused() || a.reply.LeftByCaller() {
		return
	}
	for _, s := range l.stops[a.box] {
		if a.from.Before(s.to) && a.to.After(s.from) && l.calm(a.box, a.from, a.to, boxes, target) {
			broken("planned stop", "%s by %s: %v, %v after the signal", a.request.ID, a.box, a.reply.Err, a.to.Sub(s.from))
		}
	}
}

// checkRefusal looks for a caller that was turned away for want of room and not told when
// to come again.
func checkRefusal(a asked, broken report) {
	full := a.reply.Status == http.StatusServiceUnavailable || a.reply.Status == http.StatusTooManyRequests
	if full && a.reply.Again <= 0 {
		broken("come back", "%s by %s: answered %d without saying when to come again", a.request.ID, a.box, a.reply.Status)
	}
}

// checkLeaving looks for work that came to a target which had left.
func (l *ledger) checkLeaving(a asked, broken report) {
	for _, r := range l.runs[a.request.ID] {
		at, left := l.left[r.Target]
		bound := at.Add(drainBound + slack)
		if left && r.At.After(bound) && l.calm(a.box, at, r.At, boxes, ownStore, store) {
			broken("draining", "%s by %s ran at %s %v after that was leaving", a.request.ID, a.box, r.Target, r.At.Sub(at))
		}
	}
}

// checkConfigurations looks for boxes that went back to an older configuration, or were
// late to take one.
func (l *ledger) checkConfigurations(broken report) {
	list := append([]asked(nil), l.asked...)
	sort.Slice(list, func(i, j int) bool { return list[i].from.Before(list[j].from) })
	type life struct {
		box string
		n   int
	}
	knew := map[life]asked{} // the newest version that it has shown
	for _, a := range list {
		if a.life == unknownLife {
			continue
		}
		who := life{a.box, a.life}
		switch {
		case a.reply.Status == 200 && a.route >= knew[who].route:
			if before, ok := knew[who]; !ok || a.route > before.route {
				knew[who] = a
			}
		case a.reply.Status == 404:
			if k := knew[who]; k.route >= a.route && k.to.Before(a.from) {
				broken("configuration", "%s went back before version %d after showing %d", a.box, a.route, k.route)
			}
			if at := l.config[a.route]; a.from.After(at.Add(applyBound+slack)) && l.calm(a.box, at, a.to, boxes, ownStore, store) {
				broken("configuration", "%s did not know version %d %v after it was taken", a.box, a.route, a.from.Sub(at))
			}
		}
	}
}
