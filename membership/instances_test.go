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

// startOf is the start of "a" that was born then; 0 is one that never said.
func startOf(born domain.Born) domain.InstanceID {
	id, err := domain.InstanceOf("a", born)
	if err != nil {
		panic(err) // the id is constant
	}
	return id
}

// born is news of a start of "a".
func born(at domain.Born, state domain.TargetState, rev store.Revision) membership.TargetUpdate {
	id := startOf(at)
	return membership.TargetUpdate{ID: id, At: pos(rev), Target: target(string(id), state, nil)}
}

// unusable is an entry of "a" that names no target, at revision 2.
func unusable() membership.TargetUpdate {
	return membership.TargetUpdate{ID: "a", At: pos(2), Unusable: true}
}

func TestNewsOfAnEarlierStartSaysNothingOfALaterOne(t *testing.T) {
	const ready, leaves = domain.TargetReady, domain.TargetLeaving
	tests := []struct {
		name string
		news []membership.TargetUpdate
		want domain.InstanceID // that may be used; empty for none
	}{
		{"it starts again", []membership.TargetUpdate{born(1, ready, 1), born(2, ready, 2)}, startOf(2)},
		{"it left and starts again", []membership.TargetUpdate{born(1, leaves, 1), born(2, ready, 2)}, startOf(2)},
		{"the last entry of the start before comes late", []membership.TargetUpdate{born(2, ready, 1), born(1, leaves, 2)}, startOf(2)},
		{"a late entry of the start before, ready", []membership.TargetUpdate{born(2, leaves, 1), born(1, ready, 2)}, ""},
		{"the start before is told of by another box, late", []membership.TargetUpdate{born(2, ready, 5), born(1, ready, 1)}, startOf(2)},
		{"the later start is told of by another box, late", []membership.TargetUpdate{born(1, ready, 5), born(2, ready, 3)}, startOf(2)},
		{"it went after that", []membership.TargetUpdate{born(1, ready, 1), gone("a", 9), born(2, ready, 3)}, ""},
		{"its entry goes and comes", []membership.TargetUpdate{born(1, ready, 1), gone("a", 2), born(2, ready, 3)}, startOf(2)},
		{"an entry without its birth is another writer's", []membership.TargetUpdate{born(1, ready, 1), born(0, ready, 2)}, ""},
		{"and the next of its own holds", []membership.TargetUpdate{born(1, ready, 1), born(0, ready, 2), born(1, ready, 3)}, startOf(1)},
		{"an entry that names no target", []membership.TargetUpdate{born(1, ready, 1), unusable()}, ""},
		{"older than what is known", []membership.TargetUpdate{born(1, ready, 3), unusable()}, startOf(1)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			for _, n := range tc.news {
				r.ApplyUpdate(start, n)
			}
			list := r.Ranked(start, "s")
			switch {
			case tc.want == "" && len(list) > 0:
				t.Errorf("used: %v", list)
			case tc.want != "" && (len(list) != 1 || list[0].Target.ID() != tc.want):
				t.Errorf("got %v, want %s", list, tc.want)
			}
		})
	}
}

func TestNothingThatIsKnownOfAStartHoldsForTheNext(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, born(1, domain.TargetReady, 1))
	r.Replaced(startOf(1))
	for range 9 {
		r.Failed(start, startOf(1))
	}
	r.Unreachable(start, startOf(1))
	r.ApplyUpdate(start, born(2, domain.TargetReady, 2))
	if s := r.Ranked(start, "s"); len(s) != 1 || s[0].Standing != membership.Good {
		t.Errorf("the next start stands as %v", s)
	}
	r.Unreachable(start, startOf(1))
	r.PeerUnreachable(start, startOf(1), start)
	r.Replaced(startOf(1))
	if r.Reported(start, startOf(1), domain.Rank{}, 7, true) {
		t.Error("word of the start before is taken")
	}
	if s := r.Ranked(start, "s"); len(s) != 1 || s[0].Standing != membership.Good {
		t.Errorf("after late word of the start before it stands as %v", s)
	}
	if id, ok := r.CurrentInstance("a"); !ok || id != startOf(2) {
		t.Errorf("under its listed id stands %v", id)
	}
	if _, known := r.Get(startOf(1)); known {
		t.Error("the start before is still known")
	}
}

func TestAnEntryThatNamesNoTargetIsNoLapse(t *testing.T) {
	r := newRoster()
	r.ApplyUpdate(start, ready("a", 1))
	r.StoreUnavailable(start)
	r.ApplyUpdate(start, unusable())
	if mayBeUsed(r, start, "a") {
		t.Error("used as if its entry had lapsed with the store")
	}
	fresh := r.ApplyList(start, pos(5), []membership.TargetUpdate{unusable(), ready("b", 3)})
	if len(fresh) != 1 || mayBeUsed(r, start, "a") || !mayBeUsed(r, start, "b") {
		t.Errorf("a listing says otherwise than a change: %v", fresh)
	}
}

// TestStartsInAnyOrder delivers what the store held of one target, lost, late, doubled and
// out of order. Whatever comes: a start is used only if no later one was learned of, and once
// all is known it is what the last entry of the last start says.
func TestStartsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var history []membership.TargetUpdate
		at := domain.Born(1)
		for rev := store.Revision(1); rev <= 12; rev++ {
			if rapid.IntRange(0, 3).Draw(rt, "again") == 0 {
				at++
			}
			state := rapid.SampledFrom([]domain.TargetState{domain.TargetReady, domain.TargetLeaving}).Draw(rt, "state")
			history = append(history, born(at, state, rev))
		}
		r, latest := newRoster(), domain.Born(0)
		deliver := func(n membership.TargetUpdate) {
			r.ApplyUpdate(start, n)
			latest = max(latest, n.ID.Born())
			for _, x := range r.Ranked(start, "s") {
				if x.Target.ID().Born() != latest {
					rt.Fatalf("uses %s after word of %d", x.Target.ID(), latest)
				}
			}
		}
		for range rapid.IntRange(0, 30).Draw(rt, "deliveries") {
			deliver(rapid.SampledFrom(history).Draw(rt, "news"))
		}
		last := history[len(history)-1]
		deliver(last)
		got := fmt.Sprint(r.Ranked(start, "s"))
		for _, n := range history {
			deliver(n)
		}
		if again := fmt.Sprint(r.Ranked(start, "s")); again != got {
			rt.Errorf("%s, and after all of it once more %s", got, again)
		}
		if usable := len(r.Ranked(start.Add(time.Millisecond), "s")) == 1; usable != (last.Target.State() == domain.TargetReady) {
			rt.Errorf("the last entry says %s, used: %v", last.Target.State(), usable)
		}
	})
}
