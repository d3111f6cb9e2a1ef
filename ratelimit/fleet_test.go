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

// These tests simulate boxes with requests for a target that names a limit, in steps of a few
// milliseconds and without a network. The load is that of fleets of 7 and 38 boxes whose callers send,
// together, several times the requests that the target takes. Boxes freeze, die, start and lose contact
// with each other.

const (
	step    = 5 * time.Millisecond
	window  = 4 * time.Second        // length of the windows in which requests to the target are counted
	settled = 3 * time.Second        // time after the first report of the limit before which nothing is counted
	rounds  = 500 * time.Millisecond // interval at which boxes exchange messages
	service = domain.ServiceName("model")
	limited = domain.InstanceID("t-1")
)

// strategy is how the boxes of a fleet share a limit.
type strategy int

const (
	byIssuer strategy = iota
	byShares          // each box uses its own share of the limit
	saving            // like byShares, and a box without requests saves up to one token
)

// node is one box.
type node struct {
	id        domain.BoxID
	boxes     *membership.Boxes
	allocator *ratelimit.Allocator
	register  *ratelimit.Register
	saved     float64 // tokens spent or expired, for the strategy saving
	hall      int
	frozen    bool
	rate      float64 // requests a second that callers send to this box for the target
	starts    domain.Incarnation
	leaving   bool
	endsAt    time.Duration // when a box that is leaving ends
	startsAt  time.Duration // when a box that has left starts again; 0 if it does not
}

// fleet is a set of boxes and the requests that they sent to the target.
type fleet struct {
	rand     *rand.Rand
	strategy strategy
	nodes    []*node
	limit    float64
	cut      bool            // there is no contact between halls
	sent     []time.Duration // times of the requests sent to the target
	arrived  int             // number of requests from callers
	now      time.Duration
	// coldUntil is until when the target is cold; it then names no limit. Zero for a target that names one.
	coldUntil time.Time
}

func newFleet(s strategy, seed uint64, boxes int, perBox, limit float64) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), strategy: s, limit: limit}
	for i := range boxes {
		n := &node{id: domain.BoxID(fmt.Sprintf("box-%d", i)), hall: i % 2, rate: perBox}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start starts the box's process, without any state.
func (f *fleet) start(n *node) {
	n.boxes = membership.NewBoxes(n.id, f.rand)
	n.boxes.Sample(at(f.now), 0)
	n.allocator = ratelimit.NewAllocator(n.id, f.rand)
	n.register = ratelimit.NewRegister(f.rand)
	n.saved = 0
	n.starts++
}

// connected reports whether messages pass between two boxes.
func (f *fleet) connected(a, b *node) bool {
	return !a.frozen && !b.frozen && (!f.cut || a.hall == b.hall)
}

// at returns the time d after the beginning of a run.
func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// run simulates the fleet, whose target reports its limit from the start.
func (f *fleet) run(length time.Duration, events map[time.Duration]func(*fleet)) {
	for now := time.Duration(0); now < length; now += step {
		f.now = now
		f.proceed()
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
			f.arrived++
			f.update(n, now)
			if f.permit(n, now) {
				f.sent = append(f.sent, now)
			}
		}
	}
}

// update gives the box the limit of the target, or the time for which it is cold.
func (f *fleet) update(n *node, now time.Duration) {
	if !f.coldUntil.IsZero() {
		n.register.SetCold(limited, coldRate, f.coldUntil)
		return
	}
	n.register.Update(at(now), ratelimit.Report{Target: limited, Limit: call.Limited{PerSecond: f.limit}, At: at(now)})
}

// round exchanges messages between all connected boxes.
func (f *fleet) round(now time.Duration) {
	shares := map[domain.BoxID]membership.ShareReport{}
	for _, n := range f.nodes {
		if now%(5*time.Second) == 0 {
			n.boxes.Sample(at(now), 0) // drops boxes without contact
		}
		shares[n.id] = membership.ShareReport{Boxes: n.boxes.LimitSharers(at(now)), UsesFallback: n.allocator.UsesFallback(at(now)), Settled: n.boxes.Settled(at(now))}
	}
	for _, n := range f.nodes {
		for _, x := range f.nodes {
			if x != n && f.connected(n, x) {
				n.boxes.Receive(at(now), membership.Contact{Box: x.id, Address: string(x.id), Incarnation: x.starts}, "hall", membership.StoreProgress{}, x.leaving)
				n.boxes.ReceiveShareReport(x.id, shares[x.id])
			}
		}
	}
}

// permit reports whether the box may send a request to the target now.
func (f *fleet) permit(n *node, d time.Duration) bool {
	now := at(d)
	wants := []ratelimit.Want{{Target: limited, Rate: n.register.Rate(now, limited)}}
	_, sharing := n.boxes.IssuerShare(now)
	if f.strategy == saving {
		return f.save(n, d, sharing)
	}
	if n.register.UsePermit(now, limited) {
		return true
	}
	n.register.DropFormerTurns(n.allocator.Assigner(service, n.boxes.Issuer(now, service, n.leaving).Box))
	if !n.register.TurnDue(now, limited) {
		return false
	}
	g, ok := ratelimit.Grant{}, false
	if f.strategy == byIssuer {
		g, ok = f.requestPermits(n, now, wants)
	}
	if !ok {
		g = n.allocator.IssueFallback(now, service, n.boxes.Issuer(now, service, n.leaving).Box, wants, ratelimit.Share(1, sharing))
	}
	for _, t := range g.Turns {
		n.register.SetTurn(g.By, t)
	}
	if g.Permits > 0 {
		n.register.AddPermits(now, limited, g.Permits-1)
	}
	return g.Permits > 0
}

// requestPermits sends the wants to the issuer; false if none is known or replies.
func (f *fleet) requestPermits(n *node, now time.Time, wants []ratelimit.Want) (ratelimit.Grant, bool) {
	issuer := n.boxes.Issuer(now, service, n.leaving).Box
	switch src := n.allocator.Source(now, service, issuer).(type) {
	case ratelimit.Local:
		return f.issue(n, now, wants), true
	case ratelimit.Remote:
		n.allocator.RequestSent(src.Issuer)
		return f.requestFrom(n, f.byID(src.Issuer), now, wants)
	case ratelimit.Fallback:
		if src.Probe != "" {
			n.allocator.RequestSent(src.Probe)
			f.requestFrom(n, f.byID(src.Probe), now, nil)
		}
	}
	return ratelimit.Grant{}, false
}

// requestFrom sends the wants from the box n to the issuer x.
func (f *fleet) requestFrom(n, x *node, now time.Time, wants []ratelimit.Want) (ratelimit.Grant, bool) {
	switch {
	case !f.connected(n, x):
		n.allocator.RequestFailed(now, x.id)
		return ratelimit.Grant{}, false
	case !x.allocator.IsIssuer(x.boxes.Issuer(now, service, x.leaving).Box, service):
		n.allocator.RequestDeclined(now, x.id)
		return ratelimit.Grant{}, false
	}
	n.allocator.ReplyReceived(service, x.id, true)
	return f.issue(x, now, wants), true
}

// issue issues permits at the issuer x.
func (f *fleet) issue(x *node, now time.Time, wants []ratelimit.Want) ratelimit.Grant {
	reporting, sharing := x.boxes.IssuerShare(now)
	return x.allocator.Issue(now, service, wants, ratelimit.Share(reporting, sharing))
}

func (f *fleet) byID(id domain.BoxID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// save reports whether the box may send a request under the strategy saving: a token bucket of one request
// at each box.
func (f *fleet) save(n *node, d time.Duration, sharing int) bool {
	n.register.AddPermits(at(d), limited, 0) // so that no permits are used
	since := float64(d) / float64(time.Second)
	tokens := since*f.limit/float64(sharing) - n.saved
	if tokens > 1 {
		n.saved = since*f.limit/float64(sharing) - 1
		tokens = 1
	}
	if tokens < 1 {
		return false
	}
	n.saved++
	return true
}

// worst returns the largest number of requests within any window that begins at from or later.
func (f *fleet) worst(from time.Duration) int { return f.worstWithin(from, window) }

// worstWithin is worst for a window of the given length.
func (f *fleet) worstWithin(from, length time.Duration) int {
	most, first := 0, 0
	for i, x := range f.sent {
		for x-f.sent[first] >= length || f.sent[first] < from && first < i {
			first++
		}
		if x >= from {
			most = max(most, i-first+1)
		}
	}
	return most
}

// tolerated returns the number of requests within a window that a target with the limit tolerates.
func tolerated(limit float64) int { return int(1.5*limit*window.Seconds() + 5) }

// setLoad sets the number of requests a second that callers send to each box.
func setLoad(perBox float64) func(*fleet) {
	return func(f *fleet) {
		for _, n := range f.nodes {
			n.rate = perBox
		}
	}
}

// freezeIssuer freezes or unfreezes the issuer.
func freezeIssuer(frozen bool) func(*fleet) {
	return func(f *fleet) {
		n := f.byID(f.nodes[0].boxes.Issuer(at(10*time.Second), service, false).Box)
		n.frozen = frozen
	}
}

// cut interrupts or restores the contact between halls.
func cut(on bool) func(*fleet) { return func(f *fleet) { f.cut = on } }

// restart restarts a share of the boxes.
func restart(share float64) func(*fleet) {
	return func(f *fleet) {
		for i, n := range f.nodes {
			if float64(i) < share*float64(len(f.nodes)) {
				f.start(n)
			}
		}
	}
}

// TestBoxesTogetherKeepToLimit: whatever happens to boxes, all boxes together send the target no more requests
// within a window than it tolerates. Without faults they send about as many as it takes.
func TestBoxesTogetherKeepToLimit(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name   string
		boxes  int
		perBox float64 // requests a second
		limit  float64
		share  float64 // least share of the requests that the target takes
		events map[time.Duration]func(*fleet)
	}{
		{"a few boxes", 7, 0.5, 1.2, 0.85, nil},
		{"dozens of boxes", 38, 0.5, 1.2, 0.85, nil},
		{"dozens of boxes, a higher limit", 38, 2, 20, 0.85, nil},
		{"far less than one request a box", 38, 0.5, 0.2, 0.7, nil},
		{"a limit of zero", 38, 0.5, 0, 0, nil},
		{"a burst at all boxes after a time without requests", 38, 0, 1.2, 0, map[time.Duration]func(*fleet){
			40 * second: setLoad(20)}},
		{"one box has all requests", 7, 0, 1.2, 0.85, map[time.Duration]func(*fleet){
			0: func(f *fleet) { f.nodes[3].rate = 8 }}},
		{"the issuer freezes", 7, 1, 1.2, 0.6, map[time.Duration]func(*fleet){
			20 * second: freezeIssuer(true), 23 * second: freezeIssuer(false), 40 * second: freezeIssuer(true), 40*second + 300*time.Millisecond: freezeIssuer(false)}},
		{"the issuer freezes among dozens", 38, 1, 4, 0.6, map[time.Duration]func(*fleet){
			20 * second: freezeIssuer(true), 30 * second: freezeIssuer(false)}},
		{"no contact between halls", 7, 1, 4, 0.6, map[time.Duration]func(*fleet){
			20 * second: cut(true), 45 * second: cut(false)}},
		{"short interruptions between halls", 38, 1, 4, 0.6, map[time.Duration]func(*fleet){
			20 * second: cut(true), 21 * second: cut(false), 23 * second: cut(true), 24 * second: cut(false)}},
		{"boxes restart", 7, 1, 1.2, 0.6, map[time.Duration]func(*fleet){
			20 * second: restart(0.5), 30 * second: restart(0.2), 32 * second: restart(0.2), 34 * second: restart(0.2)}},
		{"all boxes restart at once", 38, 1, 1.2, 0.6, map[time.Duration]func(*fleet){20 * second: restart(1)}},
		{"the limit falls", 7, 3, 20, 0, map[time.Duration]func(*fleet){20 * second: func(f *fleet) { f.limit = 0.5 }}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(5) {
				f := newFleet(byIssuer, seed, tc.boxes, tc.perBox, tc.limit)
				const length = 60 * second
				f.run(length, tc.events)
				if n := f.worst(settled); n > tolerated(tc.limit) {
					t.Errorf("seed %d: %d requests in %v, the target tolerates %d", seed, n, window, tolerated(tc.limit))
				}
				if takes := tc.limit * length.Seconds(); float64(len(f.sent)) < tc.share*takes {
					t.Errorf("seed %d: %d requests, the target takes %.0f; want a share of at least %v", seed, len(f.sent), takes, tc.share)
				}
			}
		})
	}
}

// TestStrategiesToShareLimit logs the results of the strategies, and checks that the strategy in use never
// exceeds what the target tolerates.
func TestStrategiesToShareLimit(t *testing.T) {
	names := map[strategy]string{byIssuer: "issuer", byShares: "own shares", saving: "own shares, saved up"}
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
		{"7 boxes, one has all requests", 7, 0, 1.2, map[time.Duration]func(*fleet){0: func(f *fleet) { f.nodes[3].rate = 8 }}},
		{"38 boxes, a burst after 40 s without requests", 38, 0, 1.2, map[time.Duration]func(*fleet){40 * time.Second: setLoad(20)}},
	} {
		const length = 80 * time.Second
		for st := byIssuer; st <= saving; st++ {
			f := newFleet(st, 1, tc.boxes, tc.perBox, tc.limit)
			f.run(length, tc.events)
			t.Logf("%-42s %-20s sent %4d, takes %4.0f; worst %3d, tolerates %3d", tc.name, names[st], len(f.sent), tc.limit*length.Seconds(), f.worst(settled), tolerated(tc.limit))
			if n := f.worst(settled); st == byIssuer && n > tolerated(tc.limit) {
				t.Errorf("%s: %d requests in %v, the target tolerates %d", tc.name, n, window, tolerated(tc.limit))
			}
		}
	}
}
