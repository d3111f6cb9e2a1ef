package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestOneRankCoordinatesAsAGroupOpens: 96 ranks see their group open at once and learn of
// their members at times a fifth of a second apart; a coordinator's reads take 0.3 s to
// reach all others, over links that they fill.
func TestOneRankCoordinatesAsAGroupOpens(t *testing.T) {
	const ranks = 96
	const reads = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		lost int // the first so many ranks have no agent
		most int // that coordinate at any time
		by   time.Duration
	}{
		{"all agents live", 0, 1, 300 * time.Millisecond},
		{"the first rank's agent is down", 1, 6, 1100 * time.Millisecond},
		{"the first two are down", 2, 6, 1100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			open := time.Unix(1_800_000_000, 0)
			var all [ranks]*orders.Election
			for r := range all {
				all[r] = orders.NewElection(open.Add(-time.Minute))
				all[r].GroupStateChanged(open)
				all[r].MembersReceived(open.Add(time.Duration(r*37%200) * time.Millisecond))
			}
			began := map[int]time.Time{}
			most, first := 0, time.Duration(0)
			for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
				now, leading := open.Add(at), 0
				for r := tc.lost; r < ranks; r++ {
					if !all[r].Leads(now, r) {
						delete(began, r)
						continue
					}
					leading++
					if _, ok := began[r]; !ok {
						began[r] = now
					}
				}
				for r, since := range began {
					if now.Sub(since) < reads {
						continue
					}
					for other := range all {
						all[other].ReadBy(now, r)
					}
				}
				if most = max(most, leading); leading > 0 && first == 0 {
					first = at
				}
			}
			if most > tc.most || first > tc.by || most == 0 {
				t.Errorf("%d ranks at once, the first after %v; want at most %d, after %v", most, first, tc.most, tc.by)
			}
			if len(began) != 1 {
				t.Errorf("in the end %d ranks coordinate", len(began))
			}
		})
	}
}

// TestTheNextRankTakesOverFromASilentOne: none comes before its turn, and the first returns.
func TestTheNextRankTakesOverFromASilentOne(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	s := orders.NewElection(now.Add(-time.Minute))
	s.GroupStateChanged(now)
	s.MembersReceived(now)
	now = now.Add(10 * time.Second)
	s.ReadBy(now, 0)
	if s.Leads(now.Add(400*time.Millisecond), 1) {
		t.Error("it does not wait for a coordinator that was heard 0.4 s ago")
	}
	if !s.Leads(now.Add(700*time.Millisecond), 1) {
		t.Error("it waits for a coordinator that was silent for 0.7 s")
	}
	s.ReadBy(now.Add(time.Second), 0)
	if s.Leads(now.Add(time.Second), 1) {
		t.Error("it goes on although the first rank is back")
	}
}
