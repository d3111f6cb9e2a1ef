package membership_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

const drain = 2 * time.Second

func newRoster() *membership.Roster {
	return membership.NewRoster("box", membership.DefaultRosterPolicy(drain))
}

// target returns a target of the service "s" in the given state.
func target(id string, state domain.TargetState, rank *domain.Rank) *domain.Target {
	t, err := domain.NewTarget(domain.TargetFields{
		ID: domain.InstanceID(id), Service: "s", Address: "10.0.0.1:1", Hall: "near", State: state, Slots: 4, Rank: rank,
	})
	if err != nil {
		panic(err) // the fields are constant
	}
	return &t
}

func ready(id string, rev store.Revision) membership.TargetUpdate {
	return membership.TargetUpdate{ID: domain.InstanceID(id), At: pos(rev), Target: target(id, domain.TargetReady, nil)}
}

func leaving(id string, rev store.Revision) membership.TargetUpdate {
	return membership.TargetUpdate{ID: domain.InstanceID(id), At: pos(rev), Target: target(id, domain.TargetLeaving, nil)}
}

func gone(id string, rev store.Revision) membership.TargetUpdate {
	return membership.TargetUpdate{ID: domain.InstanceID(id), At: pos(rev)}
}

// standings returns the standings of the targets of the service "s" by id, except leaving ones.
func standings(r *membership.Roster, now time.Time) map[domain.InstanceID]membership.Standing {
	m := map[domain.InstanceID]membership.Standing{}
	for _, x := range r.Ranked(now, "s") {
		m[x.Target.ID()] = x.Standing
	}
	return m
}

func mayBeUsed(r *membership.Roster, now time.Time, id string) bool {
	s, ok := standings(r, now)[domain.InstanceID(id)]
	return ok && s.Usable()
}

func TestLeavingTargetsAreNotUsable(t *testing.T) {
	tests := []struct {
		name    string
		updates []membership.TargetUpdate
		want    bool
	}{
		{"ready", []membership.TargetUpdate{ready("a", 1)}, true},
		{"leaving", []membership.TargetUpdate{ready("a", 1), leaving("a", 2)}, false},
		{"removed without a report of leaving", []membership.TargetUpdate{ready("a", 1), gone("a", 2)}, false},
		{"update to leaving, older than the entry", []membership.TargetUpdate{ready("a", 5), leaving("a", 4)}, true},
		{"update to ready, older than the entry", []membership.TargetUpdate{leaving("a", 5), ready("a", 4)}, false},
		{"listed again under the same id", []membership.TargetUpdate{ready("a", 1), gone("a", 2), ready("a", 3)}, true},
		{"update to ready, older than the removal", []membership.TargetUpdate{gone("a", 5), ready("a", 4)}, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			for _, u := range tc.updates {
				r.ApplyUpdate(start, u)
			}
			if got := mayBeUsed(r, start, "a"); got != tc.want {
				t.Errorf("usable: %v, want %v", got, tc.want)
			}
		})
	}
}

func TestApplyListRemovesUnlistedTargets(t *testing.T) {
	r := newRoster()
	r.ApplyList(start, pos(10), []membership.TargetUpdate{ready("a", 1), ready("b", 2)})
	applied := r.ApplyList(start, pos(20), []membership.TargetUpdate{ready("b", 2), ready("c", 15)})
	if len(applied) != 2 {
		t.Errorf("%d updates applied, want 2 (a removed, c added): %+v", len(applied), applied)
	}
	if mayBeUsed(r, start, "a") || !mayBeUsed(r, start, "b") || !mayBeUsed(r, start, "c") {
		t.Errorf("standings: %v, want b and c usable", standings(r, start))
	}
	if r.ApplyList(start, pos(15), []membership.TargetUpdate{ready("a", 1)}) != nil {
		t.Error("an older list was applied")
	}
	r.ApplyUpdate(start, ready("d", 30)) // received from a peer, newer than the next list
	r.ApplyList(start, pos(30), nil)
	r.ApplyList(start, pos(25), nil)
	if mayBeUsed(r, start, "b") {
		t.Error("b is still used after an empty list")
	}
}

func TestEntriesThatLapseWhileStoreIsUnavailableStayUsableForGrace(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.ApplyUpdate(start, leaving("b", 2))
	r.StoreUnavailable(start)
	back := start.Add(time.Minute) // whatever the time since the last failed call, the store has not answered
	r.StoreAvailable(back)
	r.ApplyUpdate(back, gone("a", 3))
	r.ApplyUpdate(back, gone("b", 4))
	if s := standings(r, back)["a"]; s != membership.Lapsed {
		t.Errorf("a is %v after its entry lapsed, want lapsed", s)
	}
	if mayBeUsed(r, back, "b") {
		t.Error("b is usable although it was listed as leaving when its entry was removed")
	}
	if end := back.Add(drain - time.Millisecond); mayBeUsed(r, end, "a") {
		t.Error("a is still usable 1 ms before the platform's drain period ends")
	}
	r.ApplyUpdate(back.Add(time.Second), ready("a", 9))
	if s := standings(r, back.Add(drain))["a"]; s != membership.Good {
		t.Errorf("a is %v after it was listed again, want good", s)
	}
}

func TestEntryRemovedWhileStoreIsAvailableMeansLeaving(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.StoreUnavailable(start)
	r.StoreAvailable(start.Add(time.Second))
	later := start.Add(time.Minute)
	r.ApplyUpdate(later, gone("a", 2))
	if mayBeUsed(r, later, "a") {
		t.Error("a is usable although the store was available again long before its entry was removed")
	}
}

func TestReplacedTargetIsNotUsable(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.Replaced("a")
	if mayBeUsed(r, start, "a") {
		t.Error("a is still usable after another instance answered at its address")
	}
}

func TestUnreachableTargetsAreNotTriedForLimitedTime(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.Unreachable(start, "a")
	if mayBeUsed(r, start.Add(500*time.Millisecond), "a") {
		t.Error("a is usable half a second after a failed connection")
	}
	if !mayBeUsed(r, start.Add(5*time.Second), "a") {
		t.Error("a is not usable 5 s after a failed connection")
	}
	r.Unreachable(start.Add(5*time.Second), "a")
	r.Succeeded(start.Add(5*time.Second), "a")
	if !mayBeUsed(r, start.Add(5*time.Second), "a") {
		t.Error("a is not usable after a successful attempt")
	}
}

func TestFailingTargetsAreSuspectUpToHalfOfService(t *testing.T) {
	r := newRoster()
	ids := []domain.InstanceID{"a", "b", "c", "d"}
	for i, id := range ids {
		r.ApplyUpdate(start, ready(string(id), store.Revision(i+1)))
	}
	for range 10 {
		r.Failed(start, "a")
		for _, id := range ids[1:] {
			r.Succeeded(start, id)
		}
	}
	got := standings(r, start)
	if got["a"] != membership.Suspect || got["b"] != membership.Good {
		t.Errorf("standings: %v, want a suspect and b good", got)
	}
	for range 40 {
		r.Failed(start, "b")
		r.Failed(start, "c")
		r.Succeeded(start, "d")
	}
	good := 0
	for _, s := range standings(r, start) {
		if s == membership.Good {
			good++
		}
	}
	if good < 2 {
		t.Errorf("%d of 4 targets are good, want at least 2: %v", good, standings(r, start))
	}
}

func TestNoTargetIsSuspectWhenWholeServiceFails(t *testing.T) {
	r := newRoster()
	for i, id := range []string{"a", "b"} {
		r.ApplyUpdate(start, ready(id, store.Revision(i+1)))
	}
	for range 20 {
		r.Failed(start, "a")
		r.Failed(start, "b")
	}
	for id, s := range standings(r, start) {
		if s != membership.Good {
			t.Errorf("%s is %v, want good", id, s)
		}
	}
}

// listGroup applies updates that list the two ranks, r0 and r1, of the group "g".
func listGroup(r *membership.Roster, rev store.Revision, epoch uint64, open bool) {
	for i, id := range []string{"r0", "r1"} {
		rank := &domain.Rank{Group: "g", Epoch: epoch, Number: i, Size: 2, Open: open}
		r.ApplyUpdate(start, membership.TargetUpdate{ID: domain.InstanceID(id), At: pos(rev + store.Revision(i)), Target: target(id, domain.TargetReady, rank)})
	}
}

func TestGroupStandingFollowsReportsOfRanks(t *testing.T) {
	open := domain.Rank{Group: "g", Epoch: 1, Size: 2, Open: true}
	broken := open
	broken.Open = false
	afterOneSecond := start.Add(time.Second)
	tests := []struct {
		name string
		do   func(*membership.Roster)
		at   time.Time
		want membership.Standing
	}{
		{"open", func(*membership.Roster) {}, start, membership.Good},
		{"a rank reports that the group is not open", func(r *membership.Roster) { r.Reported(start, "r1", broken, 5, false) }, start, membership.Unfit},
		{"a report that the group is not open is outdated", func(r *membership.Roster) { r.Reported(start, "r1", broken, 5, false) }, start.Add(2 * time.Second), membership.Good},
		{"the other rank is unreachable", func(r *membership.Roster) { r.Unreachable(start, "r1") }, start.Add(100 * time.Millisecond), membership.Suspect},
		{"the other rank is unreachable and the group continues to step", func(r *membership.Roster) {
			r.Reported(start, "r0", open, 5, true)
			r.Unreachable(start, "r1")
			r.Reported(start.Add(100*time.Millisecond), "r0", open, 6, true)
		}, start.Add(200 * time.Millisecond), membership.Good},
		{"work and no new step", func(r *membership.Roster) {
			r.Reported(start, "r0", open, 5, true)
			r.Reported(afterOneSecond, "r0", open, 5, true)
		}, afterOneSecond, membership.Suspect},
		{"one rank no longer reports and the group continues to step", func(r *membership.Roster) {
			r.Reported(start, "r0", open, 5, true)
			r.Reported(start.Add(400*time.Millisecond), "r1", open, 6, true)
			r.Reported(start.Add(800*time.Millisecond), "r1", open, 7, true)
		}, afterOneSecond, membership.Good},
		{"a rank reports late a step that the other rank reported before", func(r *membership.Roster) {
			r.Reported(start, "r0", open, 5, true)
			r.Reported(start, "r1", open, 6, true)
			r.Reported(start.Add(900*time.Millisecond), "r0", open, 6, true)
		}, afterOneSecond, membership.Suspect},
		{"the group is formed again, and one rank's last report is from its earlier formation", func(r *membership.Roster) {
			r.Reported(start, "r0", open, 900, true)
			later := open
			later.Epoch = 2
			r.Reported(start.Add(400*time.Millisecond), "r1", later, 1, true)
			r.Reported(start.Add(800*time.Millisecond), "r1", later, 2, true)
		}, afterOneSecond, membership.Good},
		{"no new step and no work", func(r *membership.Roster) {
			r.Reported(start, "r0", open, 5, false)
			r.Reported(afterOneSecond, "r0", open, 5, false)
		}, afterOneSecond, membership.Good},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			listGroup(r, 1, 1, true)
			tc.do(r)
			if got := standings(r, tc.at)["r0"]; got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

func TestTargetsOfUnreachableHallAreSuspect(t *testing.T) {
	r := newRoster()
	for i, id := range []string{"a", "b", "c"} {
		r.ApplyUpdate(start, ready(id, store.Revision(i+1)))
	}
	r.Unreachable(start, "a")
	if s := standings(r, start)["c"]; s != membership.Good {
		t.Errorf("one unreachable target in the hall: c is %v, want good", s)
	}
	r.Unreachable(start, "b")
	if s := standings(r, start)["c"]; s != membership.Suspect {
		t.Errorf("two unreachable targets in the hall: c is %v, want suspect", s)
	}
	r.Succeeded(start.Add(time.Millisecond), "c")
	if s := standings(r, start.Add(time.Millisecond))["c"]; s != membership.Good {
		t.Errorf("after a successful attempt: c is %v, want good", s)
	}
}

// listTwoHalls lists three targets in a far data hall and two in the near one, all of which have
// reported themselves.
func listTwoHalls(now time.Time, r *membership.Roster) {
	for i, id := range []string{"f1", "f2", "f3", "n1", "n2"} {
		t, err := domain.NewTarget(domain.TargetFields{
			ID: domain.InstanceID(id), Service: "s", Address: "10.0.0.1:1", Hall: map[byte]domain.HallName{'f': "far", 'n': "near"}[id[0]],
			State: domain.TargetReady, Slots: 4,
		})
		if err != nil {
			panic(err) // the fields are constant
		}
		r.ApplyUpdate(now, membership.TargetUpdate{ID: t.ID(), At: pos(store.Revision(i + 1)), Target: &t})
		r.Reported(now, t.ID(), domain.Rank{}, 1, true)
	}
}

func TestUnresponsiveTargetIsSuspect(t *testing.T) {
	tests := []struct {
		name    string
		reports map[domain.InstanceID]int // time of the report, ms after the start
		want    membership.Standing       // standing of n1 at 2 s
	}{
		{"it reported less than UnresponsiveAfter ago", map[domain.InstanceID]int{"n1": 1000, "n2": 1900}, membership.Good},
		{"it is silent, another target reported", map[domain.InstanceID]int{"n2": 1900}, membership.Suspect},
		{"all targets are silent, as after a pause of this box", nil, membership.Good},
		{"it has reported again", map[domain.InstanceID]int{"n1": 1950, "n2": 1900}, membership.Good},
	}
	for _, tc := range tests {
		r := newRoster()
		listTwoHalls(start, r)
		for id, ms := range tc.reports {
			r.Reported(start.Add(time.Duration(ms)*time.Millisecond), id, domain.Rank{}, 2, true)
		}
		if got := standings(r, start.Add(2*time.Second))["n1"]; got != tc.want {
			t.Errorf("%s: n1 is %v, want %v", tc.name, got, tc.want)
		}
	}
}

func TestSilentHallGetsNoRequests(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name        string
		unreachable []domain.InstanceID       // targets found unreachable at 100 ms
		reports     map[domain.InstanceID]int // time of the report, ms after the start
		at          int                       // time of the check, ms after the start
		usable      bool                      // whether f3 may be used
		otherSilent bool                      // whether all halls but the near one are silent
	}{
		{"all targets are reachable", nil, map[domain.InstanceID]int{"n1": 1500}, 1500, true, false},
		{"one target is unreachable", []domain.InstanceID{"f1"}, map[domain.InstanceID]int{"n1": 1500}, 1500, true, false},
		{"two are unreachable, and the hall is silent for a second", []domain.InstanceID{"f1", "f2"}, map[domain.InstanceID]int{"n1": 1500}, 1500, false, true},
		{"long after the hall fell silent", []domain.InstanceID{"f1", "f2"}, map[domain.InstanceID]int{"n1": 60000}, 60000, false, true},
		{"two were found unreachable a moment ago", []domain.InstanceID{"f1", "f2"}, map[domain.InstanceID]int{"n1": 900}, 900, true, false},
		{"two are unreachable, a third reports", []domain.InstanceID{"f1", "f2"}, map[domain.InstanceID]int{"n1": 1500, "f3": 1200}, 1500, true, false},
		{"the hall reports again", []domain.InstanceID{"f1", "f2"}, map[domain.InstanceID]int{"n1": 60000, "f1": 59990}, 60000, true, false},
		{"no hall reports", []domain.InstanceID{"f1", "f2"}, nil, 1500, true, false},
	}
	for _, tc := range tests {
		r := newRoster()
		listTwoHalls(start, r)
		for _, id := range tc.unreachable {
			r.Unreachable(at(100), id)
		}
		for id, ms := range tc.reports {
			r.Reported(at(ms), id, domain.Rank{}, 2, true)
		}
		if got := mayBeUsed(r, at(tc.at), "f3"); got != tc.usable {
			t.Errorf("%s: f3 usable: %v, want %v", tc.name, got, tc.usable)
		}
		if got := r.OtherHallsSilent(at(tc.at), "near"); got != tc.otherSilent {
			t.Errorf("%s: all other halls silent: %v, want %v", tc.name, got, tc.otherSilent)
		}
		if !mayBeUsed(r, at(tc.at), "n1") {
			t.Errorf("%s: n1 in the near hall is not usable", tc.name)
		}
	}
}

// TestOrderOfUpdatesDoesNotMatter applies the same updates to two rosters in different orders, and
// the final list of the first to a third roster: all must have the same standings.
func TestOrderOfUpdatesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var history []membership.TargetUpdate
		for rev := range 12 {
			id := fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "id"))
			kinds := []membership.TargetUpdate{ready(id, store.Revision(rev+1)), leaving(id, store.Revision(rev+1)), gone(id, store.Revision(rev+1))}
			history = append(history, rapid.SampledFrom(kinds).Draw(rt, "update"))
		}
		inOrder, shuffled := newRoster(), newRoster()
		for _, u := range history {
			inOrder.ApplyUpdate(start, u)
		}
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}).Draw(rt, "order") {
			shuffled.ApplyUpdate(start, history[i])
		}
		if a, b := standings(inOrder, start), standings(shuffled, start); fmt.Sprint(a) != fmt.Sprint(b) {
			rt.Fatalf("standings after updates in order: %v, shuffled: %v", a, b)
		}
		fromPeer := newRoster()
		fromPeer.ApplyList(start, inOrder.Newest(), inOrder.All())
		if a, b := standings(inOrder, start), standings(fromPeer, start); fmt.Sprint(a) != fmt.Sprint(b) {
			rt.Fatalf("standings after updates in order: %v, from the list of a peer: %v", a, b)
		}
	})
}

// TestReportsOfPeersAreOrderedByTime guards against an older report, relayed late by another box,
// overwriting a newer one that this box received itself.
func TestReportsOfPeersAreOrderedByTime(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	open := domain.Rank{Epoch: 1, Open: true}
	if !r.Reported(start.Add(time.Second), "a", open, 5, true) {
		t.Error("the first report was ignored")
	}
	if r.Reported(start, "a", domain.Rank{Epoch: 1}, 4, true) {
		t.Error("a report older than the last one was recorded")
	}
	now := start.Add(1100 * time.Millisecond)
	r.PeerUnreachable(now, "a", start)
	if !mayBeUsed(r, now, "a") {
		t.Error("a is not usable although it has reported since the last report that the other box received")
	}
	r.PeerUnreachable(now, "a", start.Add(time.Second))
	if mayBeUsed(r, now, "a") {
		t.Error("a is usable although another box cannot reach it and it has not reported since")
	}
	r.Reported(now, "a", open, 6, true)
	if !mayBeUsed(r, now, "a") {
		t.Error("a is not usable although it reported again")
	}
}

// pos returns the position of the revision in the first era.
func pos(rev store.Revision) store.Position { return store.PositionOf(1, rev) }
