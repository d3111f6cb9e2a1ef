package waitqueue_test

import (
	"cmp"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/waitqueue"
)

var begin = time.Unix(1_800_000_000, 0)

// checkedQueue checks the decisions of a queue that receives random events.
type checkedQueue struct {
	*rapid.T
	q       *waitqueue.Queue
	now     time.Time
	waiting map[waitqueue.Ticket]waitqueue.Request
	settled map[waitqueue.Ticket]bool // tickets that were released, refused or left
}

// latest returns when a request must have been decided about.
func latest(r waitqueue.Request) time.Time {
	if r.Stage == waitqueue.Started {
		return callerEnd(r).Add(-cmp.Or(r.FirstByte, margin))
	}
	begin := callerEnd(r).Add(-max(margin, r.FirstByte*5/2))
	if whole := r.Deadline.Add(-r.Duration * 5 / 4); r.Duration > 0 && whole.Before(begin) {
		return whole
	}
	return begin
}

// callerEnd returns when the caller leaves.
func callerEnd(r waitqueue.Request) time.Time {
	if r.Deadline.Before(r.LeavesAt) {
		return r.Deadline
	}
	return r.LeavesAt
}

// before reports whether a is to be released before b.
func before(a, b waitqueue.Request) bool {
	if a.Class != b.Class {
		return a.Class.Rank() < b.Class.Rank()
	}
	return callerEnd(a).Before(callerEnd(b))
}

// settle checks that the ticket waits, unless it was never queued, and has no decision yet.
func (c *checkedQueue) settle(t waitqueue.Ticket, queued bool) {
	if _, waits := c.waiting[t]; waits != queued || c.settled[t] {
		c.Fatalf("decision about ticket %d, which waits: %v, and had a decision before: %v", t, waits, c.settled[t])
	}
	delete(c.waiting, t)
	c.settled[t] = true
}

func (c *checkedQueue) check(decisions []waitqueue.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case waitqueue.Refused:
			c.settle(d.Ticket, d.Queued)
		case waitqueue.Released:
			r := c.waiting[d.Ticket]
			c.settle(d.Ticket, true)
			if !c.now.Before(latest(r)) {
				c.Fatalf("released %v after the latest time", c.now.Sub(latest(r)))
			}
			for t, other := range c.waiting {
				if other.Service == r.Service && before(other, r) {
					c.Fatalf("ticket %d was released before ticket %d, which is more urgent or leaves sooner", d.Ticket, t)
				}
			}
		}
	}
}

func (c *checkedQueue) add(capacity int) {
	span := func(label string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(c.T, label)) * ms
	}
	r := waitqueue.Request{
		Service: rapid.SampledFrom([]domain.ServiceName{"s", "s", "s", "t"}).Draw(c.T, "service"), Class: rapid.SampledFrom(classes).Draw(c.T, "class"),
		Stage:    rapid.SampledFrom([]waitqueue.Stage{waitqueue.FirstTry, waitqueue.Returning, waitqueue.Started}).Draw(c.T, "stage"),
		LeavesAt: c.now.Add(span("leaves", 4000)), Deadline: c.now.Add(span("deadline", 8000)), FirstByte: span("first byte", 900), Duration: span("duration", 3000),
	}
	if rapid.Bool().Draw(c.T, "forming") {
		r.OpensAt = c.now.Add(span("opens", 2500))
	}
	ticket, decisions := c.q.Add(c.now, r)
	for _, d := range decisions {
		if d, ok := d.(waitqueue.Queued); ok && d.Ticket == ticket {
			c.waiting[ticket] = r
			continue
		}
		c.check([]waitqueue.Decision{d})
	}
	if _, queued := c.waiting[ticket]; queued == c.settled[ticket] {
		c.Fatalf("ticket %d: queued %v, refused %v", ticket, queued, c.settled[ticket])
	}
	if c.q.Len() != len(c.waiting) || c.q.Len() > capacity {
		c.Fatalf("%d requests wait of which %d were queued, want at most %d", c.q.Len(), len(c.waiting), capacity)
	}
}

// TestQueueHoldsNobodyTooLong draws random events and checks that no caller is held past the time from which
// its answer cannot begin before it leaves, that requests are released by class and then by who leaves
// first, that the bound holds, and that each request gets exactly one decision.
func TestQueueHoldsNobodyTooLong(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity := rapid.IntRange(0, 8).Draw(rt, "capacity")
		c := &checkedQueue{T: rt, q: waitqueue.New(capacity), now: begin, waiting: map[waitqueue.Ticket]waitqueue.Request{}, settled: map[waitqueue.Ticket]bool{}}
		for range rapid.IntRange(1, 100).Draw(rt, "events") {
			switch rapid.IntRange(0, 15).Draw(rt, "event") {
			case 0, 6:
				room := waitqueue.Room{Free: rapid.IntRange(0, 30).Draw(rt, "free"), ReportedAt: c.now.Add(-100 * ms), Boxes: 10}
				c.check(c.q.Usable(c.now, "s", room))
			case 1:
				c.check(c.q.Gone(c.now, "t"))
			case 2:
				ticket := waitqueue.Ticket(rapid.IntRange(1, 100).Draw(rt, "ticket"))
				if _, waits := c.waiting[ticket]; c.q.Leave(ticket) != waits {
					rt.Fatalf("ticket %d left; it waits: %v", ticket, waits)
				} else if waits {
					c.settle(ticket, true)
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(rt, "stop") == 0 {
					c.check(c.q.Stop(c.now))
				}
			case 4, 5:
				target := c.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(rt, "ms")) * ms)
				for next, ok := c.q.NextExpiry(); ok && !next.After(target); next, ok = c.q.NextExpiry() {
					c.now = next
					c.check(c.q.Expire(c.now))
				}
				c.now = target
			default:
				c.add(capacity)
			}
			for ticket, r := range c.waiting {
				if !c.now.Before(latest(r)) {
					rt.Fatalf("ticket %d waits %v longer than it may", ticket, c.now.Sub(latest(r)))
				}
			}
		}
	})
}
