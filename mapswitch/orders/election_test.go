package orders_test

import (
	"testing"
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// TestElectionElectsOneCoordinatorAsGroupOpens: 96 ranks observe at once that their group
// opens, and receive its members at times spread over a fifth of a second; the reads of a
// coordinator take 0.3 s to reach all others, over links that the reads fill.
func TestElectionElectsOneCoordinatorAsGroupOpens(t *testing.T) {
	const ranks = 96
	const readTime = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		down int           // number of ranks without an agent, from rank 0 on
		most int           // bound of the ranks that coordinate at the same time
		by   time.Duration // bound of the time until a rank coordinates
	}{
		{"all agents live", 0, 1, 300 * time.Millisecond},
		{"the first rank's agent is down", 1, 6, 1100 * time.Millisecond},
		{"the first two agents are down", 2, 6, 1100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			open := time.Unix(1_800_000_000, 0)
			var elections [ranks]*orders.Election
			for r := range elections {
				elections[r] = orders.NewElection(open.Add(-time.Minute))
				elections[r].GroupStateChanged(open)
				elections[r].MembersReceived(open.Add(time.Duration(r*37%200) * time.Millisecond))
			}
			leadsSince := map[int]time.Time{}
			most, first := 0, time.Duration(0)
			for at := time.Duration(0); at < 4*time.Second; at += 10 * time.Millisecond {
				now, leading := open.Add(at), 0
				for r := tc.down; r < ranks; r++ {
					if !elections[r].Leads(now, r) {
						delete(leadsSince, r)
						continue
					}
					leading++
					if _, ok := leadsSince[r]; !ok {
						leadsSince[r] = now
					}
				}
				for r, since := range leadsSince {
					if now.Sub(since) < readTime {
						continue
					}
					for other := range elections {
						elections[other].ReadBy(now, r)
					}
				}
				if most = max(most, leading); leading > 0 && first == 0 {
					first = at
				}
			}
			if most > tc.most || first > tc.by || most == 0 {
				t.Errorf("%d ranks coordinate at once, the first after %v; want at most %d, after %v", most, first, tc.most, tc.by)
			}
			if len(leadsSince) != 1 {
				t.Errorf("%d ranks coordinate in the end, want 1", len(leadsSince))
			}
		})
	}
}

// TestElectionReplacesSilentCoordinator: the next rank takes over only after the time-out,
// and yields when the first rank coordinates again.
func TestElectionReplacesSilentCoordinator(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	e := orders.NewElection(now.Add(-time.Minute))
	e.GroupStateChanged(now)
	e.MembersReceived(now)
	now = now.Add(10 * time.Second)
	e.ReadBy(now, 0)
	if e.Leads(now.Add(400*time.Millisecond), 1) {
		t.Error("rank 1 leads 0.4 s after the last read by rank 0")
	}
	if !e.Leads(now.Add(700*time.Millisecond), 1) {
		t.Error("rank 1 does not lead 0.7 s after the last read by rank 0")
	}
	e.ReadBy(now.Add(time.Second), 0)
	if e.Leads(now.Add(time.Second), 1) {
		t.Error("rank 1 still leads after another read by rank 0")
	}
}
