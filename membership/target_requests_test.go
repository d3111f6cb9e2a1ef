package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// TestRestingTargetGetsNoWorkUntilRestEnds: a target that requested rest gets no work before the
// latest requested end, whatever reports and updates arrive in the meantime, and then gets work
// again.
func TestRestingTargetGetsNoWorkUntilRestEnds(t *testing.T) {
	const rest = 3 * time.Second
	for _, tc := range []struct {
		name string
		do   func(*membership.Roster)
		at   time.Duration
		want membership.Standing
	}{
		{"during the rest", nil, time.Second, membership.Resting},
		{"just before the end", nil, rest - 1, membership.Resting},
		{"at the end", nil, rest, membership.Good},
		{"a late response requests less", func(r *membership.Roster) { r.RestRequested("a", start.Add(time.Second)) }, 2 * time.Second, membership.Resting},
		{"it requests more", func(r *membership.Roster) { r.RestRequested("a", start.Add(2*rest)) }, rest, membership.Resting},
		{"it serves a request that was under way", func(r *membership.Roster) { r.Succeeded(start, "a") }, time.Second, membership.Resting},
		{"the list changes", func(r *membership.Roster) { r.ApplyUpdate(start, ready("a", 2)) }, time.Second, membership.Resting},
		{"its entry lapses", func(r *membership.Roster) {
			r.StoreUnavailable(start)
			r.ApplyUpdate(start, gone("a", 2))
		}, time.Second, membership.Resting},
		{"it is unreachable too", func(r *membership.Roster) { r.Unreachable(start, "a") }, 500 * time.Millisecond, membership.Resting},
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
				t.Errorf("standing %v, want %v", got, tc.want)
			}
			if got := r.AcceptsWork(now, "a"); got != (tc.want == membership.Good) {
				t.Errorf("accepts work: %v", got)
			}
		})
	}
}

// TestRestAppliesToRequestingTargetsOnly: the other targets of the service stay in use, also those
// of the same group, and the minimum share in use does not bring resting targets back.
func TestRestAppliesToRequestingTargetsOnly(t *testing.T) {
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
		t.Errorf("the first target accepts work again after %v, want 4s", first.Sub(start))
	}
	if first := r.EarliestRestEnd(now, "another"); !first.IsZero() {
		t.Errorf("a target of another service rests until %v", first)
	}
}

// TestReportedLeavingHoldsForTheInstance: a target's report that it is leaving holds whatever the
// list has later. It has no effect on the target's next instance, and neither has the rest that
// the earlier instance requested.
func TestReportedLeavingHoldsForTheInstance(t *testing.T) {
	const ready, leaves = domain.TargetReady, domain.TargetLeaving
	for _, tc := range []struct {
		name    string
		updates []membership.TargetUpdate // after the first instance reported that it is leaving
		id      domain.InstanceID
		want    bool // whether id may be used
	}{
		{"no update", nil, instance(1), false},
		{"the list has it as ready", []membership.TargetUpdate{born(1, ready, 2)}, instance(1), false},
		{"its entry is removed and written again", []membership.TargetUpdate{gone("a", 2), born(1, ready, 3)}, instance(1), false},
		{"the next instance starts", []membership.TargetUpdate{born(2, ready, 2)}, instance(2), true},
		{"the next instance starts after the list had it as leaving", []membership.TargetUpdate{born(1, leaves, 2), born(2, ready, 3)}, instance(2), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			r.ApplyUpdate(start, born(1, ready, 1))
			if tc.want {
				r.RestRequested(instance(1), start.Add(time.Minute))
			}
			if !r.LeavingReported(start, instance(1)) {
				t.Error("the first report of leaving is not new")
			}
			if r.LeavingReported(start, instance(1)) {
				t.Error("the second report of leaving is new")
			}
			for _, u := range tc.updates {
				r.ApplyUpdate(start, u)
			}
			if got := mayBeUsed(r, start, string(tc.id)); got != tc.want || r.AcceptsWork(start, tc.id) != tc.want {
				t.Errorf("may be used: %v, accepts work: %v", got, r.AcceptsWork(start, tc.id))
			}
		})
	}
	r := newRoster()
	r.ApplyUpdate(start, born(1, leaves, 1))
	if r.LeavingReported(start, instance(1)) {
		t.Error("the report of leaving is new although the list had it")
	}
	if r.LeavingReported(start, instance(2)) || r.AcceptsWork(start, instance(2)) {
		t.Error("an unknown instance is leaving, or accepts work")
	}
}

// TestLeavingTargetsAreListedForLimitedTime: the time runs from the first report that this box
// received; a report that comes back from another box does not prolong it.
func TestLeavingTargetsAreListedForLimitedTime(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.ApplyUpdate(start, ready("b", 2))
	r.LeavingReported(start, "b")
	r.LeavingReported(start.Add(time.Second), "a")
	r.LeavingReported(start.Add(2*time.Second), "b") // comes back from a box that this one notified
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
