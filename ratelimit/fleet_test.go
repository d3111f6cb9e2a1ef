package ratelimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/ratelimit"
)

// Boxes with work for a target that names a limit, in steps of a few milliseconds and without a
// network. The load is that of fleets of 7 and 38 boxes whose callers ask, together, for several
// times what the target takes; boxes freeze, die, start and lose each other.

const (
	step    = 5 * time.Millisecond
	window  = 4 * time.Second
	settled = 3 * time.Second // from when the limit was named
	rounds  = 500 * time.Millisecond
	service = domain.ServiceName("model")
	limited = domain.InstanceID("t-1")
)

// way is how the boxes of a fleet share a limit.
type way int

const (
	byIssuer way = iota
	byParts      // each goes by its own part of the limit
	saving       // the same, and saves one request up while it has none
)

// node is one box.
type node struct {
	id        domain.BoxID
	boxes     *membership.Boxes
	allocator *ratelimit.Allocator
	register  *ratelimit.Register
	saved     float64
	hall      int
	frozen    bool
	rate      float64 // requests a second for the target
}

// fleet is all of them, with what reached the target.
type fleet struct {
	rand  *rand.Rand
	way   way
	nodes []*node
	limit float64
	cut   bool // halls do not hear each other
	sent  []time.Duration
	asked int
	now   time.Duration
}

func newFleet(w way, seed uint64, boxes int, perBox, limit float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), way: w, limit: limit}
	for i := range boxes {
		n := &node{id: domain.BoxID(fmt.Sprintf("box-%d", i)), hall: i % 2, rate: perBox}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start starts the box's process, which knows nothing.
func (f *fleet) start(n *node) {
	n.boxes = membership.NewBoxes(n.id, f.rand)
	n.boxes.Sample(at(f.now), 0)
	n.allocator = ratelimit.NewAllocator(n.id, f.rand)
	n.register = ratelimit.NewRegister(f.rand)
	n.saved = 0
}

func (f *fleet) hear(a, b *node) bool { return !a.frozen && !b.frozen && (!f.cut || a.hall == b.hall) }

// at is the time of a run.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// run plays the fleet, whose target names its limit from the start on.
func (f *fleet) run(length time.Duration, events map[time.Duration]func(*fleet)) {
	for now := time.Duration(0); now < length; now += step {
		f.now = now
		if e, ok := events[now]; ok {
			e(f)
		}
		if now%rounds == 0 {
			f.round(now)
		}
		for _, i := range f.rand.Perm(len(f.nodes)) {
			n := f.nodes[i]
			if n.frozen || f.rand.Float64() >= n.rate*step.Seconds() {
				continue
			}
			f.asked++
			n.register.Update(at(now), ratelimit.Report{Target: limited, Limit: call.Limited{PerSecond: f.limit}, At: at(now)})
			if f.permit(n, now) {
				f.sent = append(f.sent, now)
			}
		}
	}
}

// round lets all boxes that hear each other say so.
func (f *fleet) round(now time.Duration) {
	shares := map[domain.BoxID]membership.Share{}
	for _, n := range f.nodes {
		if now%(5*time.Second) == 0 {
			n.boxes.Sample(at(now), 0) // forgets those that were lost
		}
		shares[n.id] = membership.Share{Boxes: n.boxes.Counted(at(now)), Apart: n.allocator.UsesFallback(at(now)), Settled: n.boxes.Settled(at(now))}
	}
	for _, n := range f.nodes {
		for _, x := range f.nodes {
			if x != n && f.hear(n, x) {
				n.boxes.Receive(at(now), membership.Contact{Box: x.id, Address: string(x.id)}, "hall", membership.Level{}, false)
				n.boxes.Shares(x.id, shares[x.id])
			}
		}
	}
}

// permit reports whether the box may send a request to the target now.
func (f *fleet) permit(n *node, d time.Duration) bool {
	now := at(d)
	wants := []ratelimit.Want{{Target: limited, Rate: ratelimit.Rate(call.Limited{PerSecond: f.limit})}}
	_, sharing := n.boxes.Part(now)
	if f.way == saving {
		return f.save(n, d, sharing)
	}
	if n.register.UsePermit(now, limited) {
		return true
	}
	if !n.register.TurnDue(now, limited) {
		return false
	}
	g, ok := ratelimit.Grant{}, false
	if f.way == byIssuer {
		g, ok = f.ask(n, now, wants)
	}
	if !ok {
		g = n.allocator.IssueFallback(now, service, wants, ratelimit.Share(1, sharing))
	}
	for _, t := range g.Turns {
		n.register.SetTurn(t.Target, t.At)
	}
	n.register.AddPermits(now, limited, max(g.Permits-1, 0))
	return g.Permits > 0
}

// ask asks the issuer; false where none is known or answers.
func (f *fleet) ask(n *node, now time.Time, wants []ratelimit.Want) (ratelimit.Grant, bool) {
	issuer := n.boxes.Issuer(now, service, false).Box
	switch w := n.allocator.Source(now, service, issuer).(type) {
	case ratelimit.Local:
		return f.issue(n, now, wants), true
	case ratelimit.Remote:
		n.allocator.RequestSent(w.Issuer)
		return f.askAt(n, f.byID(w.Issuer), now, wants)
	case ratelimit.Fallback:
		if w.Probe != "" {
			n.allocator.RequestSent(w.Probe)
			f.askAt(n, f.byID(w.Probe), now, nil)
		}
	}
	return ratelimit.Grant{}, false
}

func (f *fleet) askAt(n, x *node, now time.Time, wants []ratelimit.Want) (ratelimit.Grant, bool) {
	switch {
	case !f.hear(n, x):
		n.allocator.RequestFailed(now, x.id)
		return ratelimit.Grant{}, false
	case !x.allocator.IsIssuer(x.boxes.Issuer(now, service, false).Box, service):
		n.allocator.RequestDeclined(now, x.id)
		return ratelimit.Grant{}, false
	}
	n.allocator.ReplyReceived(service, x.id, true)
	return f.issue(x, now, wants), true
}

func (f *fleet) issue(x *node, now time.Time, wants []ratelimit.Want) ratelimit.Grant {
	heard, sharing := x.boxes.Part(now)
	return x.allocator.Issue(now, service, wants, ratelimit.Share(heard, sharing))
}

func (f *fleet) byID(id domain.BoxID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// save is a token bucket of one request at each box.
func (f *fleet) save(n *node, d time.Duration, sharing int) bool {
	n.register.AddPermits(at(d), limited, 0) // so that nothing of it is used
	since := float64(d) / float64(time.Second)
	have := since*f.limit/float64(sharing) - n.saved
	if have > 1 {
		n.saved = since*f.limit/float64(sharing) - 1
		have = 1
	}
	if have < 1 {
		return false
	}
	n.saved++
	return true
}

// worst is the most requests within a window that began at the time or later.
func (f *fleet) worst(from time.Duration) int {
	most, first := 0, 0
	for i, x := range f.sent {
		for x-f.sent[first] >= window || f.sent[first] < from && first < i {
			first++
		}
		if x >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

func borne(limit float64) int { return int(1.5*limit*window.Seconds() + 5) }

// busyness sets what each box has, a second.
func busyness(perBox float64) func(*fleet) {
	return func(f *fleet) {
		for _, n := range f.nodes {
			n.rate = perBox
		}
	}
}

// first freezes or wakes the issuer.
func first(frozen bool) func(*fleet) {
	return func(f *fleet) {
		n := f.byID(f.nodes[0].boxes.Issuer(at(10*time.Second), service, false).Box)
		n.frozen = frozen
	}
}

func cut(on bool) func(*fleet) { return func(f *fleet) { f.cut = on } }

func restart(share float64) func(*fleet) {
	return func(f *fleet) {
		for i, n := range f.nodes {
			if float64(i) < share*float64(len(f.nodes)) {
				f.start(n)
			}
		}
	}
}

// TestAllBoxesTogetherKeepToALimit: whatever becomes of boxes, all together send the target no more
// within a window than it bears, and where nothing is wrong about what it takes.
func TestAllBoxesTogetherKeepToALimit(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name   string
		boxes  int
		perBox float64 // requests a second
		limit  float64
		share  float64 // of what it takes, that it gets at least
		events map[time.Duration]func(*fleet)
	}{
		{"a few boxes", 7, 0.5, 1.2, 0.85, nil},
		{"dozens of boxes", 38, 0.5, 1.2, 0.85, nil},
		{"dozens of boxes, and more that the target takes", 38, 2, 20, 0.85, nil},
		{"much less than a request a box", 38, 0.5, 0.2, 0.7, nil},
		{"nothing at all", 38, 0.5, 0, 0, nil},
		{"after a quiet time all boxes are asked at once", 38, 0, 1.2, 0, map[time.Duration]func(*fleet){
			40 * second: busyness(20)}},
		{"one box has all the work", 7, 0, 1.2, 0.85, map[time.Duration]func(*fleet){
			0: func(f *fleet) { f.nodes[3].rate = 8 }}},
		{"the issuer freezes", 7, 1, 1.2, 0.6, map[time.Duration]func(*fleet){
			20 * second: first(true), 23 * second: first(false), 40 * second: first(true), 40*second + 300*time.Millisecond: first(false)}},
		{"the issuer freezes among dozens", 38, 1, 4, 0.6, map[time.Duration]func(*fleet){
			20 * second: first(true), 30 * second: first(false)}},
		{"halls lose each other", 7, 1, 4, 0.6, map[time.Duration]func(*fleet){
			20 * second: cut(true), 45 * second: cut(false)}},
		{"halls lose each other for moments", 38, 1, 4, 0.6, map[time.Duration]func(*fleet){
			20 * second: cut(true), 21 * second: cut(false), 23 * second: cut(true), 24 * second: cut(false)}},
		{"boxes start again", 7, 1, 1.2, 0.6, map[time.Duration]func(*fleet){
			20 * second: restart(0.5), 30 * second: restart(0.2), 32 * second: restart(0.2), 34 * second: restart(0.2)}},
		{"all boxes start again at once", 38, 1, 1.2, 0.6, map[time.Duration]func(*fleet){20 * second: restart(1)}},
		{"the limit falls", 7, 3, 20, 0, map[time.Duration]func(*fleet){20 * second: func(f *fleet) { f.limit = 0.5 }}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				f := newFleet(byIssuer, seed, tc.boxes, tc.perBox, tc.limit)
				const length = 60 * second
				f.run(length, tc.events)
				if n := f.worst(settled); n > borne(tc.limit) {
					t.Errorf("seed %d: %d requests in %v, the target bears %d", seed, n, window, borne(tc.limit))
				}
				if takes := tc.limit * length.Seconds(); float64(len(f.sent)) < tc.share*takes {
					t.Errorf("seed %d: %d requests, the target takes %.0f", seed, len(f.sent), takes)
				}
			}
		})
	}
}

// TestWaysToShareALimit reports what the ways come to, and holds what the one in use is chosen for.
func TestWaysToShareALimit(t *testing.T) {
	names := map[way]string{byIssuer: "issuer", byParts: "own parts", saving: "own parts, saved up"}
	for _, tc := range []struct {
		name   string
		boxes  int
		perBox float64
		limit  float64
		events map[time.Duration]func(*fleet)
	}{
		{"7 boxes, even", 7, 0.5, 1.2, nil},
		{"38 boxes, even", 38, 0.5, 1.2, nil},
		{"38 boxes, 10 a second", 38, 1, 10, nil},
		{"7 boxes, one has all", 7, 0, 1.2, map[time.Duration]func(*fleet){0: func(f *fleet) { f.nodes[3].rate = 8 }}},
		{"38 boxes, a burst after 40 quiet seconds", 38, 0, 1.2, map[time.Duration]func(*fleet){40 * time.Second: busyness(20)}},
	} {
		const length = 80 * time.Second
		for w := byIssuer; w <= saving; w++ {
			f := newFleet(w, 1, tc.boxes, tc.perBox, tc.limit)
			f.run(length, tc.events)
			t.Logf("%-42s %-20s sent %4d, takes %4.0f; worst %3d, bears %3d", tc.name, names[w], len(f.sent), tc.limit*length.Seconds(), f.worst(settled), borne(tc.limit))
			if n := f.worst(settled); w == byIssuer && n > borne(tc.limit) {
				t.Errorf("%s: %d requests in %v, the target bears %d", tc.name, n, window, borne(tc.limit))
			}
		}
	}
}
