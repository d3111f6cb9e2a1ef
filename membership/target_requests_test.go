package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// TestARestingTargetGetsNothing: a target that asked this box for rest gets nothing until the
// end of it, whatever else is learned of it meanwhile, and then gets work again.
func TestARestingTargetGetsNothing(t *testing.T) {
	const rest = 3 * time.Second
	for _, tc := range []struct {
		name string
		do   func(*membership.Roster)
		at   time.Duration
		want membership.Standing
	}{
		{"in the midst of it", nil, time.Second, membership.Resting},
		{"just before its end", nil, rest - 1, membership.Resting},
		{"at its end", nil, rest, membership.Good},
		{"an answer of before asks for less", func(r *membership.Roster) { r.RestRequested("a", start.Add(time.Second)) }, 2 * time.Second, membership.Resting},
		{"it asks for more", func(r *membership.Roster) { r.RestRequested("a", start.Add(2*rest)) }, rest, membership.Resting},
		{"it serves what was under way", func(r *membership.Roster) { r.Succeeded(start, "a") }, time.Second, membership.Resting},
		{"the list changes", func(r *membership.Roster) { r.ApplyUpdate(start, ready("a", 2)) }, time.Second, membership.Resting},
		{"its entry lapses", func(r *membership.Roster) {
			r.StoreUnavailable(start)
			r.ApplyUpdate(start, gone("a", 2))
		}, time.Second, membership.Resting},
		{"it is out of reach too", func(r *membership.Roster) { r.Unreachable(start, "a") }, 500 * time.Millisecond, membership.Resting},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			r.ApplyUpdate(start, ready("a", 1))
			r.RestRequested("a", start.Add(rest))
			if tc.do != nil {
				tc.do(r)
			}
			now := start.Add(tc.at)
			if got := standings(r, now)["a"]; got != tc.want {
				t.Errorf("%v, want %v", got, tc.want)
			}
			if got := r.AcceptsWork(now, "a"); got != (tc.want == membership.Good) {
				t.Errorf("wanted: %v", got)
			}
		})
	}
}

// TestRestsSpareWhoDidNotAsk: the other targets of the service stay in use, those of the same
// group too, and the floor of ejections does not bring a resting one back.
func TestRestsSpareWhoDidNotAsk(t *testing.T) {
	const targets, resting = 8, 6
	r := newRoster()
	for i := range targets {
		id := fmt.Sprintf("t-%d", i)
		rank := &domain.Rank{Group: "g", Number: i, Size: targets, Open: true}
		r.ApplyUpdate(start, membership.TargetUpdate{ID: domain.InstanceID(id), At: pos(1), Target: target(id, domain.TargetReady, rank)})
		if i < resting {
			for range 8 { // enough for an ejection
				r.Failed(start, domain.InstanceID(id))
			}
			r.RestRequested(domain.InstanceID(id), start.Add(time.Duration(9-i)*time.Second))
		}
	}
	now := start.Add(time.Second)
	for i := range targets {
		if got := mayBeUsed(r, now, fmt.Sprintf("t-%d", i)); got != (i >= resting) {
			t.Errorf("target %d may be used: %v", i, got)
		}
	}
	if first := r.EarliestRestEnd(now, "s"); !first.Equal(start.Add(4 * time.Second)) {
		t.Errorf("the first takes work again at %v", first.Sub(start))
	}
	if first := r.EarliestRestEnd(now, "another"); !first.IsZero() {
		t.Errorf("a target of another service rests until %v", first)
	}
}

// TestWhatATargetSaysOfItsLeavingStays: for its start, whatever the list says later; its next
// start knows nothing of it, nor of rest that the one before asked for.
func TestWhatATargetSaysOfItsLeavingStays(t *testing.T) {
	const ready, leaves = domain.TargetReady, domain.TargetLeaving
	for _, tc := range []struct {
		name string
		news []membership.TargetUpdate // after the first start reported that it is leaving
		id   domain.InstanceID         // whether it may be used
		want bool
	}{
		{"nothing else", nil, startOf(1), false},
		{"the list says that it is ready", []membership.TargetUpdate{born(1, ready, 2)}, startOf(1), false},
		{"its entry goes and comes again", []membership.TargetUpdate{gone("a", 2), born(1, ready, 3)}, startOf(1), false},
		{"it starts again", []membership.TargetUpdate{born(2, ready, 2)}, startOf(2), true},
		{"it starts again after the list knew too", []membership.TargetUpdate{born(1, leaves, 2), born(2, ready, 3)}, startOf(2), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			r.ApplyUpdate(start, born(1, ready, 1))
			if tc.want {
				r.RestRequested(startOf(1), start.Add(time.Minute))
			}
			if !r.LeavingReported(start, startOf(1)) {
				t.Error("it is no news that it is leaving")
			}
			if r.LeavingReported(start, startOf(1)) {
				t.Error("it is news twice")
			}
			for _, n := range tc.news {
				r.ApplyUpdate(start, n)
			}
			if got := mayBeUsed(r, start, string(tc.id)); got != tc.want || r.AcceptsWork(start, tc.id) != tc.want {
				t.Errorf("may be used: %v, wanted: %v", got, r.AcceptsWork(start, tc.id))
			}
		})
	}
	r := newRoster()
	r.ApplyUpdate(start, born(1, leaves, 1))
	if r.LeavingReported(start, startOf(1)) {
		t.Error("it is news although the list said so")
	}
	if r.LeavingReported(start, startOf(2)) || r.AcceptsWork(start, startOf(2)) {
		t.Error("a start that is not known is leaving, or wanted")
	}
}

// TestLeaversAreToldForAWhile: to other boxes, from when this box learned of it.
func TestLeaversAreToldForAWhile(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.ApplyUpdate(start, ready("b", 2))
	r.LeavingReported(start, "b")
	r.LeavingReported(start.Add(time.Second), "a")
	r.LeavingReported(start.Add(2*time.Second), "b") // heard again from a box that it told
	for _, tc := range []struct {
		at   time.Duration
		want []domain.InstanceID
	}{
		{0, []domain.InstanceID{"a", "b"}},
		{2999 * time.Millisecond, []domain.InstanceID{"a", "b"}},
		{3 * time.Second, []domain.InstanceID{"a"}},
		{4 * time.Second, nil},
	} {
		if got := r.LeavingTargets(start.Add(tc.at)); !slices.Equal(got, tc.want) {
			t.Errorf("after %v: %v, want %v", tc.at, got, tc.want)
		}
	}
}
