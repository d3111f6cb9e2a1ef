package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

const formTime = 600 * time.Millisecond

// groupOfFour is a roster with a group of four ranks that report themselves.
type groupOfFour struct {
	*membership.Roster
	now time.Time
}

func newGroupOfFour() *groupOfFour {
	g := &groupOfFour{newRoster(), start}
	for i := range 4 {
		g.list(i, store.Revision(1+i))
	}
	return g
}

func (g *groupOfFour) list(rank int, rev store.Revision) {
	listed := domain.Rank{Group: "g", Epoch: 1, Number: rank, Size: 4, Open: true}
	g.ApplyUpdate(g.now, membership.TargetUpdate{ID: rankID(rank), At: pos(rev), Target: target(string(rankID(rank)), domain.TargetReady, &listed)})
}

// report lets the ranks report every 200 ms for the given time.
func (g *groupOfFour) report(d time.Duration, open bool, ranks ...int) {
	for end := g.now.Add(d); g.now.Before(end); {
		g.now = g.now.Add(200 * time.Millisecond)
		for _, r := range ranks {
			g.Reported(g.now, rankID(r), domain.Rank{Group: "g", Epoch: 1, Number: r, Size: 4, Open: open}, 7, false)
		}
	}
}

// TestReopeningIsKnownOnceAllRanksReport guards against new callers that wait for a group of which nobody knows
// when it opens, and against refusing those that arrive while it forms.
func TestReopeningIsKnownOnceAllRanksReport(t *testing.T) {
	const s = time.Second
	for _, tc := range []struct {
		name     string
		play     func(*groupOfFour)
		followed map[domain.InstanceID]bool
		want     time.Duration // from now until the group is expected to open; negative if it is late, -s if that is unknown
	}{
		{"a hall with two ranks is cut off", func(g *groupOfFour) { g.report(3*s, false, 0, 1) }, nil, -s},
		{"one rank of the hall reports again", func(g *groupOfFour) {
			g.report(3*s, false, 0, 1)
			g.report(200*time.Millisecond, false, 0, 1, 2)
		}, nil, -s},
		{"all ranks report again", func(g *groupOfFour) {
			g.report(3*s, false, 0, 1)
			g.report(400*time.Millisecond, false, 0, 1, 2, 3)
		}, nil, formTime - 200*time.Millisecond},
		{"it is about to open", func(g *groupOfFour) {
			g.report(3*s, false, 0, 1)
			g.report(s, false, 0, 1, 2, 3)
		}, nil, formTime - 800*time.Millisecond},
		{"it does not open", func(g *groupOfFour) {
			g.report(3*s, false, 0, 1)
			g.report(2*s, false, 0, 1, 2, 3)
		}, nil, -s},
		{"it has just stopped, and the lost ranks are not missed yet", func(g *groupOfFour) { g.report(s, false, 0, 1) }, nil, -s},
		{"a rank that is back could not be reached since", func(g *groupOfFour) {
			g.report(3*s, false, 0, 1)
			g.report(200*time.Millisecond, false, 0, 1, 2, 3)
			g.Unreachable(g.now.Add(time.Millisecond), rankID(3))
		}, nil, -s},
		{"all followed ranks report again", func(g *groupOfFour) {
			g.report(3*s, false, 1)
			g.report(400*time.Millisecond, false, 1, 3)
		}, map[domain.InstanceID]bool{rankID(1): true, rankID(3): true}, formTime - 200*time.Millisecond},
		{"a followed rank is missing", func(g *groupOfFour) { g.report(3*s, false, 1) }, map[domain.InstanceID]bool{rankID(1): true, rankID(3): true}, -s},
		{"a rank is listed no more", func(g *groupOfFour) {
			g.report(3*s, false, 0, 1)
			g.report(200*time.Millisecond, false, 0, 1, 2, 3)
			g.ApplyUpdate(g.now, membership.TargetUpdate{ID: rankID(3), At: pos(20)})
		}, nil, -s},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGroupOfFour()
			g.report(3*s, true, 0, 1, 2, 3)
			tc.play(g)
			got := g.Reopening(g.now, "s", formTime, tc.followed)
			if known := !got.IsZero(); known != (tc.want != -s) || known && got.Sub(g.now) != tc.want {
				t.Errorf("expected to open in %v, known: %v; want %v, and -1s if unknown", got.Sub(g.now), known, tc.want)
			}
			if at := g.Reopening(g.now, "s", 0, tc.followed); !at.IsZero() {
				t.Errorf("expected to open at %v although its time to form is unknown", at)
			}
		})
	}
	t.Run("a box that has just started", func(t *testing.T) {
		g := newGroupOfFour()
		g.report(400*time.Millisecond, false, 0, 1, 2, 3)
		if at := g.Reopening(g.now, "s", formTime, nil); !at.IsZero() {
			t.Errorf("expected to open at %v although no rank was seen missing", at)
		}
	})
}

// TestStoppedGroupGetsNoFurtherRequests guards against a request that is declined by one rank of a stopped
// group after the other, since their own reports are older than the stop: its attempts are used up.
func TestStoppedGroupGetsNoFurtherRequests(t *testing.T) {
	for _, tc := range []struct {
		name  string
		after func(*groupOfFour)
		want  membership.Standing
	}{
		{"reports of before the stop", func(*groupOfFour) {}, membership.Unfit},
		{"a report without progress", func(g *groupOfFour) { g.report(200*time.Millisecond, true, 1) }, membership.Unfit},
		{"a rank reports a later step", func(g *groupOfFour) {
			g.Reported(g.now.Add(time.Millisecond), rankID(2), domain.Rank{Group: "g", Epoch: 1, Number: 2, Size: 4, Open: true}, 8, true)
		}, membership.Good},
		{"a rank reports a new formation", func(g *groupOfFour) {
			g.Reported(g.now.Add(time.Millisecond), rankID(2), domain.Rank{Group: "g", Epoch: 2, Number: 2, Size: 4, Open: true}, 0, false)
		}, membership.Good},
		{"no report for a second", func(g *groupOfFour) { g.now = g.now.Add(time.Second) }, membership.Good},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := newGroupOfFour()
			g.report(time.Second, true, 0, 1, 2, 3)
			g.now = g.now.Add(time.Millisecond)
			g.GroupStopped(g.now, rankID(0))
			tc.after(g)
			if got := standings(g.Roster, g.now)[rankID(1)]; got != tc.want {
				t.Errorf("another rank is %v, want %v", got, tc.want)
			}
		})
	}
}
