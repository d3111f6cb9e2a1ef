package ratelimit_test

import (
	"testing"
	"time"
)

// A box that leaves sends requests for leavingFor, and starts again stoppedFor later.
const leavingFor, stoppedFor = 3 * time.Second, time.Second

// leave makes the current issuer leave, as a planned stop does. Until the others receive that with the next
// round, they request permits from it, which it declines.
func (f *fleet) leave() {
	for _, n := range f.nodes {
		if n.boxes.Issuer(at(f.now), service, n.leaving).Box == n.id {
			n.leaving, n.endsAt, n.startsAt = true, f.now+leavingFor, f.now+leavingFor+stoppedFor
			return
		}
	}
}

// proceed ends boxes that are leaving, and starts them again, when it is time.
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
// requests after a planned stop of the issuer. In a rolling restart of four boxes a target that takes 1.5
// requests a second was sent 8 in 11 s: boxes whose requests the leaving issuer declined waited for turns of
// their fallback shares, and the next issuer kept back their shares for seconds.
func TestLimitIsUsedWhileIssuersChange(t *testing.T) {
	// The first box leaves between two rounds.
	const start, interval, changes, seeds = 20*time.Second + rounds/5, 4 * time.Second, 10, 20
	for _, tc := range []struct {
		name   string
		boxes  int
		perBox float64 // requests a second
		limit  float64
		share  float64 // least share of the requests that the target takes, over all seeds
	}{
		{"a few boxes", 4, 40, 1.5, 0.75},
		{"more boxes", 12, 10, 1.5, 0.78},
		{"a higher limit", 12, 10, 8, 0.78},
		{"dozens of boxes", 38, 5, 4, 0.8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			events := map[time.Duration]func(*fleet){}
			for i := range changes {
				events[start+time.Duration(i)*interval] = (*fleet).leave
			}
			const end = start + changes*interval
			sent, least, most := 0, 1<<30, 0
			for seed := range uint64(seeds) {
				f := newFleet(byIssuer, seed, tc.boxes, tc.perBox, tc.limit)
				f.run(end, events)
				n := f.sentBetween(start, end)
				sent, least = sent+n, min(least, n)
				most = max(most, f.worst(settled))
				if n := f.worst(settled); n > tolerated(tc.limit) {
					t.Errorf("seed %d: %d requests in %v, the target tolerates %d", seed, n, window, tolerated(tc.limit))
				}
			}
			takes := seeds * tc.limit * (end - start).Seconds()
			t.Logf("sent %d while the issuer changed, takes %.0f, a share of %.2f; least of a seed %d; at most %d in %v, tolerates %d", sent, takes, float64(sent)/takes, least, most, window, tolerated(tc.limit))
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
