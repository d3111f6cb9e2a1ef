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

// instance returns the instance of "a" with the start time; 0 is for an instance whose start time is unknown.
func instance(born domain.StartTime) domain.InstanceID {
	id, err := domain.NewInstanceID("a", born)
	if err != nil {
		panic(err) // the id is constant
	}
	return id
}

// born returns an update of the instance of "a" with the start time.
func born(at domain.StartTime, state domain.TargetState, rev store.Revision) membership.TargetUpdate {
	id := instance(at)
	return membership.TargetUpdate{ID: id, At: pos(rev), Target: target(string(id), state, nil)}
}

// unusable returns an update, at revision 2, with an entry of "a" that names no target.
func unusable() membership.TargetUpdate {
	return membership.TargetUpdate{ID: "a", At: pos(2), Unusable: true}
}

func TestUpdatesOfEarlierInstanceDoNotAffectLaterOne(t *testing.T) {
	const ready, leaves = domain.TargetReady, domain.TargetLeaving
	tests := []struct {
		name    string
		updates []membership.TargetUpdate
		want    domain.InstanceID // the instance that may be used; empty for none
	}{
		{"the next instance starts", []membership.TargetUpdate{born(1, ready, 1), born(2, ready, 2)}, instance(2)},
		{"the next instance starts after the first left", []membership.TargetUpdate{born(1, leaves, 1), born(2, ready, 2)}, instance(2)},
		{"the last entry of the earlier instance is late", []membership.TargetUpdate{born(2, ready, 1), born(1, leaves, 2)}, instance(2)},
		{"a late entry of the earlier instance, as ready", []membership.TargetUpdate{born(2, leaves, 1), born(1, ready, 2)}, ""},
		{"another box reports the earlier instance late", []membership.TargetUpdate{born(2, ready, 5), born(1, ready, 1)}, instance(2)},
		{"another box reports the later instance late", []membership.TargetUpdate{born(1, ready, 5), born(2, ready, 3)}, instance(2)},
		{"a removal at a later position than the later instance", []membership.TargetUpdate{born(1, ready, 1), gone("a", 9), born(2, ready, 3)}, ""},
		{"its entry is removed, and the next instance starts", []membership.TargetUpdate{born(1, ready, 1), gone("a", 2), born(2, ready, 3)}, instance(2)},
		{"an entry without a start time is from another writer", []membership.TargetUpdate{born(1, ready, 1), born(0, ready, 2)}, ""},
		{"the next entry of its own is used", []membership.TargetUpdate{born(1, ready, 1), born(0, ready, 2), born(1, ready, 3)}, instance(1)},
		{"an entry that names no target", []membership.TargetUpdate{born(1, ready, 1), unusable()}, ""},
		{"an entry that names no target, older than the known one", []membership.TargetUpdate{born(1, ready, 3), unusable()}, instance(1)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			for _, u := range tc.updates {
				r.ApplyUpdate(start, u)
			}
			list := r.Ranked(start, "s")
			switch {
			case tc.want == "" && len(list) > 0:
				t.Errorf("used: %v, want none", list)
			case tc.want != "" && (len(list) != 1 || list[0].Target.ID() != tc.want):
				t.Errorf("got %v, want %s", list, tc.want)
			}
		})
	}
}

func TestNextInstanceStartsWithoutStateOfThePrevious(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, born(1, domain.TargetReady, 1))
	r.Replaced(instance(1))
	for range 9 {
		r.Failed(start, instance(1))
	}
	r.Unreachable(start, instance(1))
	r.ApplyUpdate(start, born(2, domain.TargetReady, 2))
	if s := r.Ranked(start, "s"); len(s) != 1 || s[0].Standing != membership.Good {
		t.Errorf("the next instance is not good: %v", s)
	}
	r.Unreachable(start, instance(1))
	r.PeerUnreachable(start, instance(1), start)
	r.Replaced(instance(1))
	if r.Reported(start, instance(1), domain.Rank{}, 7, true) {
		t.Error("a report of the earlier instance was recorded")
	}
	if s := r.Ranked(start, "s"); len(s) != 1 || s[0].Standing != membership.Good {
		t.Errorf("the next instance is not good after late reports of the earlier one: %v", s)
	}
	if id, ok := r.CurrentInstance("a"); !ok || id != instance(2) {
		t.Errorf("the current instance under the listed id is %v", id)
	}
	if _, known := r.Get(instance(1)); known {
		t.Error("the earlier instance is still known")
	}
}

func TestUnusableEntryIsNotTreatedAsLapsed(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.StoreUnavailable(start)
	r.ApplyUpdate(start, unusable())
	if mayBeUsed(r, start, "a") {
		t.Error("used as if its entry had lapsed with the store")
	}
	applied := r.ApplyList(start, pos(5), []membership.TargetUpdate{unusable(), ready("b", 3)})
	if len(applied) != 1 || mayBeUsed(r, start, "a") || !mayBeUsed(r, start, "b") {
		t.Errorf("a list has another effect than an update: %v", applied)
	}
}

// TestInstancesInAnyOrder delivers the store's entries of one target with loss, delay, duplicates
// and out of order. An instance must be used only if no later one was received, and after all
// entries the last entry of the last instance must decide.
func TestInstancesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var history []membership.TargetUpdate
		at := domain.StartTime(1)
		for rev := store.Revision(1); rev <= 12; rev++ {
			if rapid.IntRange(0, 3).Draw(rt, "again") == 0 {
				at++
			}
			state := rapid.SampledFrom([]domain.TargetState{domain.TargetReady, domain.TargetLeaving}).Draw(rt, "state")
			history = append(history, born(at, state, rev))
		}
		r, latest := newRoster(), domain.StartTime(0)
		deliver := func(u membership.TargetUpdate) {
			r.ApplyUpdate(start, u)
			latest = max(latest, u.ID.StartTime())
			for _, x := range r.Ranked(start, "s") {
				if x.Target.ID().StartTime() != latest {
					rt.Fatalf("uses %s after an update of the instance born at %d", x.Target.ID(), latest)
				}
			}
		}
		for range rapid.IntRange(0, 30).Draw(rt, "deliveries") {
			deliver(rapid.SampledFrom(history).Draw(rt, "update"))
		}
		last := history[len(history)-1]
		deliver(last)
		got := fmt.Sprint(r.Ranked(start, "s"))
		for _, u := range history {
			deliver(u)
		}
		if again := fmt.Sprint(r.Ranked(start, "s")); again != got {
			rt.Errorf("%s, and after all updates once more %s", got, again)
		}
		if usable := len(r.Ranked(start.Add(time.Millisecond), "s")) == 1; usable != (last.Target.State() == domain.TargetReady) {
			rt.Errorf("the last entry is %s, used: %v", last.Target.State(), usable)
		}
	})
}
