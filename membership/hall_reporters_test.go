package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

const old = time.Second

// TestOutlook: a box asks the targets of its own hall, and lets one box report each
// other hall for as long as that box answers and hears its targets.
func TestOutlook(t *testing.T) {
	for name, tt := range map[string]struct {
		hall   domain.HallName
		events func(o *membership.HallReporters)
		asks   bool
	}{
		"own hall":            {"near", func(*membership.HallReporters) {}, true},
		"nobody told yet":     {"far", func(*membership.HallReporters) {}, true},
		"told a moment ago":   {"far", func(o *membership.HallReporters) { o.Answered("far", "b"); o.Received("far", "t", start) }, false},
		"told of others only": {"far", func(o *membership.HallReporters) { o.Answered("far", "b"); o.Received("far", "u", start) }, true},
		"told long ago":       {"far", func(o *membership.HallReporters) { o.Answered("far", "b"); o.Received("far", "t", start.Add(-2*old)) }, true},
		"older word comes last": {"far", func(o *membership.HallReporters) {
			o.Answered("far", "b")
			o.Received("far", "t", start)
			o.Received("far", "t", start.Add(-2*old))
		}, false},
		"teller stopped answering": {"far", func(o *membership.HallReporters) {
			o.Answered("far", "b")
			o.Received("far", "t", start)
			o.Failed("far", "b")
		}, true},
		"another teller answers": {"far", func(o *membership.HallReporters) {
			o.Received("far", "t", start)
			o.Failed("far", "b")
			o.Answered("far", "c")
		}, false},
		"the target is forgotten": {"far", func(o *membership.HallReporters) {
			o.Answered("far", "b")
			o.Received("far", "t", start)
			o.Forget(func(domain.InstanceID) bool { return false })
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			o := membership.NewHallReporters("near")
			tt.events(o)
			if got := o.ShouldQueryTarget(start.Add(old/2), tt.hall, "t", old); got != tt.asks {
				t.Errorf("asks the target itself: %v, want %v", got, tt.asks)
			}
		})
	}
}

func TestOutlookStaysWithTheBoxThatAnswers(t *testing.T) {
	o := membership.NewHallReporters("near")
	there := []membership.Contact{contact("a", 1), contact("b", 1), contact("c", 1)}
	choose := func() domain.BoxID {
		c, ok := o.Choose("far", there)
		if !ok {
			t.Fatal("nobody is asked")
		}
		return c.Box
	}
	if !o.Answered("far", "b") || o.Answered("far", "b") {
		t.Error("the first answer of a box is news, the second is not")
	}
	if got := choose(); got != "b" {
		t.Errorf("asks %s though b answers", got)
	}
	if !o.Failed("far", "b") || o.Failed("far", "b") {
		t.Error("the first failure is news, the second is not")
	}
	if got := choose(); got == "b" {
		t.Error("asks the box again that just did not answer")
	}
	there = there[1:2]
	if got := choose(); got != "b" {
		t.Errorf("asks %s, though only b is left", got)
	}
	there = nil
	if _, ok := o.Choose("far", there); ok {
		t.Error("asks a box that is not in touch")
	}
}

// TestFollowersRelyOnTheirHubs: one of thirty boxes of a hall, whose hub reports on all halls
// four times a second, until it does no more.
func TestFollowersRelyOnTheirHubs(t *testing.T) {
	ms := time.Millisecond
	for _, tt := range []struct {
		name            string
		after           time.Duration // the hub's last report
		failed          bool
		near, far       bool // it asks targets there itself
		surveys, ofNear bool // it asks boxes of the other hall, and the hubs of its own
	}{
		{"the hub told a moment ago", 200 * ms, false, false, false, false, true},
		{"the hub just stopped answering", 400 * ms, true, false, false, false, true},
		{"no hub has told for long", 1500 * ms, true, true, false, true, true},
		{"nor any box of the other hall", 2500 * ms, true, true, true, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := membership.NewHallReporters("near")
			o.SetRole(membership.Follower)
			o.Answered("near", "hub")
			o.Received("near", "t", start)
			o.Received("far", "u", start)
			if tt.failed {
				o.Failed("near", "hub")
			}
			now := start.Add(tt.after)
			if near, far := o.ShouldQueryTarget(now, "near", "t", old), o.ShouldQueryTarget(now, "far", "u", old); near != tt.near || far != tt.far {
				t.Errorf("asks targets itself: near %v, far %v", near, far)
			}
			if s, n := o.ShouldQueryPeer(now, "far", old), o.ShouldQueryPeer(now, "near", old); s != tt.surveys || n != tt.ofNear {
				t.Errorf("asks boxes: of the other hall %v, of its own %v", s, n)
			}
		})
	}
}

// TestAHubAsksForTheOthers: its own targets, and boxes of other halls.
func TestAHubAsksForTheOthers(t *testing.T) {
	o := membership.NewHallReporters("near")
	o.SetRole(membership.Hub)
	o.Answered("far", "b")
	o.Received("near", "t", start)
	o.Received("far", "u", start)
	if !o.ShouldQueryTarget(start, "near", "t", old) || o.ShouldQueryTarget(start, "far", "u", old) {
		t.Error("it asks other targets than those of its own hall")
	}
	if o.ShouldQueryPeer(start, "near", old) || !o.ShouldQueryPeer(start, "far", old) {
		t.Error("it asks other boxes than those of other halls")
	}
}
