package ratelimit_test

import (
	"testing"
	"time"
)

// leave makes the current issuer leave, as a planned stop does: it tells the other boxes at once, sends
// requests for leavingFor, and starts again stoppedFor later.
func (f *fleet) leave() {
	for _, n := range f.nodes {
		if n.boxes.Issuer(at(f.now), service, n.leaving).Box == n.id {
			n.leaving, n.endsAt, n.startsAt = true, f.now+leavingFor, f.now+leavingFor+stoppedFor
			f.round(f.now)
			return
		}
	}
}

const leavingFor, stoppedFor = 3 * time.Second, time.Second

// proceed ends boxes that have been leaving for leavingFor, and starts those that have been stopped for
// stoppedFor.
func (f *fleet) proceed() {
	for _, n := range f.nodes {
		switch {
		case n.leaving && f.now >= n.endsAt:
			n.leaving, n.frozen = false, true
		case n.startsAt > 0 && f.now >= n.startsAt:
			n.frozen, n.startsAt = false, 0
			f.start(n)
			f.round(f.now)
		}
	}
}

// TestLimitIsUsedWhileIssuersChange guards against a target that is short of capacity and is left without
// requests after a planned stop of the issuer: boxes waited for the turns that the former issuer had
// assigned, and the new issuer was asked for no permits meanwhile. In a rolling restart of four boxes a
// target that takes 1.5 requests a second was sent 8 in 11 s.
func TestLimitIsUsedWhileIssuersChange(t *testing.T) {
	const start, interval, changes, seeds = 20 * time.Second, 4 * time.Second, 10, 20
	for _, tc := range []struct {
		name   string
		boxes  int
		perBox float64 // requests a second
		limit  float64
		share  float64 // least share of the requests that the target takes, over all seeds
	}{
		{"a few boxes", 4, 5, 1.5, 0.85},
		{"more boxes", 12, 5, 1.5, 0.85},
		{"a higher limit", 12, 5, 8, 0.85},
		{"dozens of boxes", 38, 2, 4, 0.85},
	} {
		t.Run(tc.name, func(t *testing.T) {
			events := map[time.Duration]func(*fleet){}
			for i := range changes {
				events[start+time.Duration(i)*interval] = (*fleet).leave
			}
			const end = start + changes*interval
			sent, least := 0, 1<<30
			for seed := range uint64(seeds) {
				f := newFleet(byIssuer, seed, tc.boxes, tc.perBox, tc.limit)
				f.run(end, events)
				n := f.sentBetween(start, end)
				sent, least = sent+n, min(least, n)
				if n := f.worst(settled); n > tolerated(tc.limit) {
					t.Errorf("seed %d: %d requests in %v, the target tolerates %d", seed, n, window, tolerated(tc.limit))
				}
			}
			takes := seeds * tc.limit * (end - start).Seconds()
			t.Logf("sent %d while the issuer changed, takes %.0f, a share of %.2f; least of a seed %d", sent, takes, float64(sent)/takes, least)
			if float64(sent) < tc.share*takes {
				t.Errorf("%d requests while the issuer changed, the target takes %.0f; want a share of at least %v", sent, takes, tc.share)
			}
		})
	}
}

// sentBetween returns the number of requests sent from the first time on and before the second.
func (f *fleet) sentBetween(from, to time.Duration) int {
	n := 0
	for _, x := range f.sent {
		if x >= from && x < to {
			n++
		}
	}
	return n
}
