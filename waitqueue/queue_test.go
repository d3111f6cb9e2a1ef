package waitqueue_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/urgency"
	"clovertrail.dev/testkit"
	"clovertrail.dev/waitqueue"
)

func TestMain(m *testing.M) { testkit.Main(m, 4000, 0) }

const (
	ms     = time.Millisecond
	margin = 300 * ms // least time between a release and the time at which the caller leaves
)

// classes has a service's classes, the most urgent first.
var classes = func() (list []urgency.Class) {
	priorities := []urgency.Priorities{{Route: 0}, {Route: 1}, {Route: 2}}
	all := urgency.NewClasses(priorities)
	for _, p := range priorities {
		list = append(list, all.Of(p))
	}
	return list
}()

// box drives a queue and records its decisions.
type box struct {
	q         *waitqueue.Queue
	names     map[waitqueue.Ticket]string
	tickets   map[string]waitqueue.Ticket
	decisions []string
}

func newBox(capacity int) *box {
	return &box{q: waitqueue.New(capacity), names: map[waitqueue.Ticket]string{}, tickets: map[string]waitqueue.Ticket{}}
}

func (b *box) record(decisions []waitqueue.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case waitqueue.Queued:
			b.decisions = append(b.decisions, fmt.Sprintf("%s queued %d", b.names[d.Ticket], d.Place))
		case waitqueue.Released:
			b.decisions = append(b.decisions, b.names[d.Ticket]+" released")
		case waitqueue.Refused:
			b.decisions = append(b.decisions, fmt.Sprintf("%s refused %s", b.names[d.Ticket], d.Reason))
		}
	}
}

// add adds a request whose caller leaves after the given time. change alters the request; it may be nil.
func (b *box) add(name string, class int, leavesIn time.Duration, change func(*waitqueue.Request)) {
	now := clock.Now()
	r := waitqueue.Request{Service: "s", Class: classes[class], Stage: waitqueue.Returning, LeavesAt: now.Add(leavesIn), Deadline: now.Add(5 * time.Second)}
	if change != nil {
		change(&r)
	}
	ticket, decisions := b.q.Add(now, r)
	b.names[ticket], b.tickets[name] = name, ticket
	b.record(decisions)
}

// usable reports free slots of the targets, which ten boxes share.
func (b *box) usable(free int, reportedAt time.Time) {
	b.decisions = append(b.decisions, "open")
	b.record(b.q.Usable(clock.Now(), "s", waitqueue.Room{Free: free, ReportedAt: reportedAt, Boxes: 10}))
}

func (b *box) passes(d time.Duration) {
	clock.AddSuspension(d) // time as package clock has it, without waiting
	b.record(b.q.Expire(clock.Now()))
}

func stage(s waitqueue.Stage) func(*waitqueue.Request) {
	return func(r *waitqueue.Request) { r.Stage = s }
}

func firstTry(opensIn time.Duration) func(*waitqueue.Request) {
	return func(r *waitqueue.Request) { r.Stage, r.OpensAt = waitqueue.FirstTry, clock.Now().Add(opensIn) }
}

// TestQueueDecisions has one scenario for each way in which a waiting request could lose its caller, take the
// place of a more urgent one, or overload a group that has just opened.
func TestQueueDecisions(t *testing.T) {
	const patience = 2 * time.Second
	for _, tc := range []struct {
		name     string
		capacity int
		play     func(*box)
		want     []string
	}{
		{"a returning caller waits until the group is open", 9, func(b *box) {
			b.add("a", 0, patience, nil)
			b.passes(patience - margin - ms)
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "open", "a released"}},
		{"no caller is held until it leaves", 9, func(b *box) {
			b.add("a", 0, patience, nil)
			b.passes(patience - margin)
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "a refused expired", "open"}},
		{"no caller is held until its deadline", 9, func(b *box) {
			b.add("a", 0, patience, func(r *waitqueue.Request) { r.Deadline = clock.Now().Add(time.Second) })
			b.passes(time.Second - margin)
		}, []string{"a queued 1", "a refused expired"}},
		{"a target that begins its answers late needs more time", 9, func(b *box) {
			b.add("a", 0, patience, func(r *waitqueue.Request) { r.FirstByte = 400 * ms })
			b.passes(time.Second)
		}, []string{"a queued 1", "a refused expired"}},
		{"an answer that could not end before the deadline", 9, func(b *box) {
			b.add("a", 0, patience, func(r *waitqueue.Request) { r.Duration = 2800 * ms })
			b.passes(1500*ms - ms)
			b.add("b", 0, patience, func(r *waitqueue.Request) { r.Duration = 2400 * ms })
			b.passes(ms)
		}, []string{"a queued 1", "b queued 2", "a refused expired"}},
		{"too little time from the beginning", 9, func(b *box) { b.add("a", 0, margin, nil) }, []string{"a refused expired"}},
		{"a first try into an outage of unknown length", 9, func(b *box) { b.add("a", 0, patience, stage(waitqueue.FirstTry)) }, []string{"a refused unexpected"}},
		{"a first try as the group forms", 9, func(b *box) { b.add("a", 0, patience, firstTry(600*ms)) }, []string{"a queued 1"}},
		{"a first try that leaves before the group is formed", 9, func(b *box) { b.add("a", 0, patience, firstTry(patience-margin+ms)) }, []string{"a refused unexpected"}},
		{"an answer that broke off goes on waiting for its group", 9, func(b *box) { b.add("a", 0, 500*ms, stage(waitqueue.Started)) }, []string{"a queued 1"}},
		{"a request that has started waits while an answer can still begin", 9, func(b *box) {
			b.add("a", 0, patience, func(r *waitqueue.Request) { r.Stage, r.FirstByte = waitqueue.Started, 170*ms })
			b.passes(patience - 170*ms - ms)
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "open", "a released"}},
		{"a request that has started is not held until its caller leaves", 9, func(b *box) {
			b.add("a", 0, patience, func(r *waitqueue.Request) { r.Stage, r.FirstByte = waitqueue.Started, 170*ms })
			b.passes(patience - 170*ms)
			b.add("b", 0, patience, stage(waitqueue.Started))
			b.passes(patience - margin)
		}, []string{"a queued 1", "a refused expired", "b queued 1", "b refused expired"}},
		{"a request that has started outlasts an evacuation of all ranks", 9, func(b *box) {
			b.add("a", 0, patience, stage(waitqueue.Started))
			b.add("b", 0, patience, nil)
			b.record(b.q.Withdrawn(clock.Now(), "s"))
			b.add("c", 0, patience, func(r *waitqueue.Request) { r.Withdrawn = true })
			b.add("d", 0, patience, func(r *waitqueue.Request) { r.Stage, r.Withdrawn = waitqueue.Started, true })
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "b queued 2", "b refused gone", "c refused gone", "d queued 2", "open", "a released", "d released"}},
		{"the most urgent first, then who leaves first", 9, func(b *box) {
			b.add("late", 1, patience, nil)
			b.add("soon", 1, time.Second, nil)
			b.add("urgent", 0, patience, nil)
			b.usable(100, clock.Now())
		}, []string{"late queued 1", "soon queued 1", "urgent queued 1", "open", "urgent released", "soon released", "late released"}},
		{"one box takes its share of the slots", 9, func(b *box) {
			reported := clock.Now().Add(-ms)
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				b.add(name, 0, patience, nil)
			}
			b.usable(20, reported)
			b.usable(20, reported) // the same reports
			b.passes(waitqueue.ReleaseInterval)
			b.usable(0, reported)
			b.passes(10 * ms)
			b.usable(20, clock.Now())
		}, []string{"a queued 1", "b queued 2", "c queued 3", "d queued 4", "e queued 5",
			"open", "a released", "b released", "open", "open", "c released", "open", "d released", "e released"}},
		{"the group opens and stops again", 9, func(b *box) {
			for _, name := range []string{"a", "b", "c"} {
				b.add(name, 0, patience, nil)
			}
			b.usable(10, clock.Now())
			b.add("a", 0, patience-400*ms, nil) // declined by a target whose group has stopped
			b.passes(time.Second)
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "b queued 2", "c queued 3", "open", "a released", "a queued 1", "open", "a released", "b released", "c released"}},
		{"full of less urgent requests", 2, func(b *box) {
			b.add("soon", 2, time.Second, nil)
			b.add("late", 2, patience, nil)
			b.add("equal", 2, time.Second, nil)
			b.add("urgent", 1, patience, nil)
			b.add("other service", 0, patience, func(r *waitqueue.Request) { r.Service = "other" })
			b.add("last", 1, patience, nil)
		}, []string{"soon queued 1", "late queued 2", "equal refused full", "late refused displaced", "urgent queued 1",
			"soon refused displaced", "other service queued 1", "last refused full"}},
		{"the box stops", 9, func(b *box) {
			b.add("a", 0, patience, nil)
			b.add("begun", 0, patience, stage(waitqueue.Started))
			b.record(b.q.Stop(clock.Now()))
			b.add("b", 0, patience, nil)
			b.add("new", 0, patience, stage(waitqueue.FirstTry))
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "begun queued 2", "a refused stopped", "b refused stopped", "new refused unexpected", "open", "begun released"}},
		{"the group is gone", 9, func(b *box) {
			b.add("a", 0, patience, nil)
			b.add("other", 0, patience, func(r *waitqueue.Request) { r.Service = "other" })
			b.record(b.q.Gone(clock.Now(), "s"))
		}, []string{"a queued 1", "other queued 1", "a refused gone"}},
		{"a caller leaves and frees its place", 1, func(b *box) {
			b.add("a", 0, patience, nil)
			b.q.Leave(b.tickets["a"])
			b.add("b", 0, patience, nil)
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "b queued 1", "open", "b released"}},
		{"the machine is suspended as the group opens", 9, func(b *box) {
			b.add("a", 0, patience, nil)
			b.add("b", 0, 4*time.Second, nil)
			clock.AddSuspension(3 * time.Second)
			b.usable(100, clock.Now())
		}, []string{"a queued 1", "b queued 2", "open", "a refused expired", "b released"}},
		{"an operator lowers the capacity", 9, func(b *box) {
			b.add("a", 1, patience, nil)
			b.add("b", 0, patience, nil)
			b.record(b.q.SetCapacity(clock.Now(), 1))
		}, []string{"a queued 1", "b queued 1", "a refused displaced"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBox(tc.capacity)
			synctest.Test(t, func(*testing.T) { tc.play(b) }) // no time passes between the steps of a scenario
			if !slices.Equal(b.decisions, tc.want) {
				t.Errorf("got  %q\nwant %q", b.decisions, tc.want)
			}
		})
	}
}
