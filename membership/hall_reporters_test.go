package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

const maxAge = time.Second

// TestTargetsAreQueriedWithoutFreshReport: a box queries the targets of its own hall directly, and
// a target of another hall only while that hall has no reporter or no fresh report of the target.
func TestTargetsAreQueriedWithoutFreshReport(t *testing.T) {
	for name, tt := range map[string]struct {
		hall   domain.HallName
		events func(r *membership.HallReporters)
		want   bool
	}{
		"own hall":                     {"near", func(*membership.HallReporters) {}, true},
		"no report yet":                {"far", func(*membership.HallReporters) {}, true},
		"reported just now":            {"far", func(r *membership.HallReporters) { r.Answered("far", "b"); r.Received("far", "t", start) }, false},
		"only another target reported": {"far", func(r *membership.HallReporters) { r.Answered("far", "b"); r.Received("far", "u", start) }, true},
		"reported long ago": {"far", func(r *membership.HallReporters) {
			r.Answered("far", "b")
			r.Received("far", "t", start.Add(-2*maxAge))
		}, true},
		"an older report comes last": {"far", func(r *membership.HallReporters) {
			r.Answered("far", "b")
			r.Received("far", "t", start)
			r.Received("far", "t", start.Add(-2*maxAge))
		}, false},
		"the reporter failed": {"far", func(r *membership.HallReporters) {
			r.Answered("far", "b")
			r.Received("far", "t", start)
			r.Failed("far", "b")
		}, true},
		"another reporter answers": {"far", func(r *membership.HallReporters) {
			r.Received("far", "t", start)
			r.Failed("far", "b")
			r.Answered("far", "c")
		}, false},
		"the target is forgotten": {"far", func(r *membership.HallReporters) {
			r.Answered("far", "b")
			r.Received("far", "t", start)
			r.Forget(func(domain.InstanceID) bool { return false })
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := membership.NewHallReporters("near")
			tt.events(r)
			if got := r.ShouldQueryTarget(start.Add(maxAge/2), targetIn(tt.hall, "t"), maxAge); got != tt.want {
				t.Errorf("queries the target: %v, want %v", got, tt.want)
			}
		})
	}
}

func TestChooseKeepsReporterThatAnswers(t *testing.T) {
	r := membership.NewHallReporters("near")
	reachable := []membership.Contact{contact("a", 1), contact("b", 1), contact("c", 1)}
	choose := func() domain.BoxID {
		c, ok := r.Choose("far", reachable)
		if !ok {
			t.Fatal("no box is chosen")
		}
		return c.Box
	}
	if !r.Answered("far", "b") || r.Answered("far", "b") {
		t.Error("want a change of the reporter at the first answer of a box, and none at the second")
	}
	if got := choose(); got != "b" {
		t.Errorf("chose %s although b answers", got)
	}
	if !r.Failed("far", "b") || r.Failed("far", "b") {
		t.Error("want the loss of a reporter at the first failure, and none at the second")
	}
	if got := choose(); got == "b" {
		t.Error("chose the box that has just failed to answer")
	}
	reachable = reachable[1:2]
	if got := choose(); got != "b" {
		t.Errorf("chose %s although only b is reachable", got)
	}
	reachable = nil
	if _, ok := r.Choose("far", reachable); ok {
		t.Error("chose a box although none is reachable")
	}
}

// TestFollowersRelyOnTheirHubs covers one of thirty boxes of a hall, whose hub reports on all
// halls four times a second until it fails. After the failure, the followers must not all query all
// targets at once.
func TestFollowersRelyOnTheirHubs(t *testing.T) {
	ms := time.Millisecond
	for _, tt := range []struct {
		name                string
		after               time.Duration // since the hub's last report
		failed              bool
		near, far           bool // queries targets of its own hall, and of the other
		farBoxes, nearBoxes bool // queries boxes of the other hall, and the hubs of its own
	}{
		{"the hub reported just now", 200 * ms, false, false, false, false, true},
		{"the hub has just failed", 400 * ms, true, false, false, false, true},
		{"no hub has reported for long", 1500 * ms, true, true, false, true, true},
		{"nor has any box of the other hall", 2500 * ms, true, true, true, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := membership.NewHallReporters("near")
			r.SetRole(membership.Follower, nil)
			r.Answered("near", "hub")
			r.Received("near", "t", start)
			r.Received("far", "u", start)
			if tt.failed {
				r.Failed("near", "hub")
			}
			now := start.Add(tt.after)
			if near, far := r.ShouldQueryTarget(now, targetIn("near", "t"), maxAge), r.ShouldQueryTarget(now, targetIn("far", "u"), maxAge); near != tt.near || far != tt.far {
				t.Errorf("queries targets: near %v, far %v", near, far)
			}
			if farBoxes, nearBoxes := r.ShouldQueryPeer(now, "far", maxAge), r.ShouldQueryPeer(now, "near", maxAge); farBoxes != tt.farBoxes || nearBoxes != tt.nearBoxes {
				t.Errorf("queries boxes: of the other hall %v, of its own %v", farBoxes, nearBoxes)
			}
		})
	}
}

// TestHubQueriesOwnTargetsAndOtherHalls: a hub queries the targets of its own hall, and boxes of
// the other halls.
func TestHubQueriesOwnTargetsAndOtherHalls(t *testing.T) {
	r := membership.NewHallReporters("near")
	r.SetRole(membership.Hub, nil)
	r.Answered("far", "b")
	r.Received("near", "t", start)
	r.Received("far", "u", start)
	if !r.ShouldQueryTarget(start, targetIn("near", "t"), maxAge) || r.ShouldQueryTarget(start, targetIn("far", "u"), maxAge) {
		t.Error("the hub must query the targets of its own hall only")
	}
	if r.ShouldQueryPeer(start, "near", maxAge) || !r.ShouldQueryPeer(start, "far", maxAge) {
		t.Error("the hub must query boxes of other halls only")
	}
}

// targetIn returns a target of the data hall that belongs to no group.
func targetIn(hall domain.HallName, id string) domain.Target {
	f := target(id, domain.TargetReady, nil).Fields()
	f.Hall = hall
	t, err := domain.NewTarget(f)
	if err != nil {
		panic(err)
	}
	return t
}
