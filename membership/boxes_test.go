package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

var start = time.Unix(1_800_000_000, 0)

func newBoxes() *membership.Boxes {
	return membership.NewBoxes("self", rand.New(rand.NewPCG(1, 2)))
}

func contact(name string, inc domain.Incarnation) membership.Contact {
	return membership.Contact{Box: domain.BoxID(name), Address: name + ":1", Incarnation: inc}
}

func TestSharingCountsBoxesLongAfterTheyFellSilent(t *testing.T) {
	b := newBoxes()
	b.Receive(start, contact("a", 1), "near", membership.StoreProgress{}, false)
	b.ReceiveIndirect(start, contact("b", 1), time.Second)
	b.Receive(start, contact("self", 1), "near", membership.StoreProgress{}, false)
	if n := b.BoundSharers(start.Add(10 * time.Second)); n != 3 {
		t.Errorf("%d share after 10 s, want 3", n)
	}
	if n := b.BoundSharers(start.Add(time.Minute)); n != 1 {
		t.Errorf("%d share after a minute, want 1", n)
	}
	if n, place := b.Reachable(start.Add(time.Second)); n != 2 || place != 1 {
		t.Errorf("%d are in touch and this one is number %d; want 2, one being only heard of, and 1", n, place)
	}
}

func TestAskingWaitsForTheStoreAndThenAsksWhoKnowsMore(t *testing.T) {
	b := newBoxes()
	own := membership.StoreProgress{Config: edition(5), Targets: pos(7)}
	b.Receive(start, contact("level", 1), "near", own, false)
	if b.Behind(own) {
		t.Error("behind a box that knows as much")
	}
	b.Receive(start, contact("ahead", 1), "near", membership.StoreProgress{Config: edition(5), Targets: pos(8)}, false)
	if !b.Behind(own) {
		t.Error("not behind")
	}
	if _, ok := b.ChoosePullPeer(start, own, start); ok {
		t.Error("asked at once")
	}
	due := start.Add(membership.PullDelay)
	if c, ok := b.ChoosePullPeer(due, own, start); !ok || c.Box != "ahead" {
		t.Errorf("asks %v, %v", c, ok)
	}
	if _, ok := b.ChoosePullPeer(due, own, start); ok {
		t.Error("asked the same box twice at once")
	}
}

func TestARestartedBoxIsNotTakenForWhatItKnewBefore(t *testing.T) {
	b := newBoxes()
	own := membership.StoreProgress{Config: edition(5)}
	b.Receive(start, contact("a", 1), "near", membership.StoreProgress{Config: edition(9)}, false)
	b.Receive(start, contact("a", 2), "near", membership.StoreProgress{}, false)
	if b.Behind(own) {
		t.Error("still ahead after it started again")
	}
	b.Receive(start, contact("a", 1), "near", membership.StoreProgress{Config: edition(9)}, false)
	if b.Behind(own) {
		t.Error("the word of its earlier start counts")
	}
}

func TestTellingReachesAllInTimeAndForgetsTheDead(t *testing.T) {
	b := newBoxes()
	for i := range 30 {
		b.Receive(start, contact(fmt.Sprint(i), 1), "near", membership.StoreProgress{}, false)
	}
	told := map[domain.BoxID]bool{}
	for range 30 {
		list := b.Sample(start, 4)
		if len(list) != 4 {
			t.Fatalf("told %d", len(list))
		}
		for _, c := range list {
			told[c.Box] = true
		}
	}
	if len(told) != 30 {
		t.Errorf("%d of 30 told in 30 rounds of 4", len(told))
	}
	if list := b.Sample(start.Add(2*membership.ForgetBoxAfter), 4); len(list) != 0 {
		t.Errorf("still tells %v", list)
	}
}

func TestElsewhereLooksAtOtherHallsOnly(t *testing.T) {
	b := newBoxes()
	b.Receive(start, contact("a", 1), "near", membership.StoreProgress{}, false)
	if known, _ := b.OtherHalls(start, "near"); known {
		t.Error("a box of the own hall counts")
	}
	b.Receive(start, contact("b", 1), "far", membership.StoreProgress{}, false)
	if known, last := b.OtherHalls(start, "near"); !known || !last.Equal(start) {
		t.Errorf("got %v, %v", known, last)
	}
}

// TestKnownPassesOnNewBoxesAndAFewOthers: adverts stay short however many boxes there
// are, and yet all boxes are passed on within a few of them.
func TestKnownPassesOnNewBoxesAndAFewOthers(t *testing.T) {
	b := newBoxes()
	later := start.Add(membership.NewFor)
	for i := range 20 {
		b.Receive(start, contact(fmt.Sprint("old", i), 1), "near", membership.StoreProgress{}, false)
	}
	for i := range 20 {
		b.Receive(later, contact(fmt.Sprint("old", i), 1), "near", membership.StoreProgress{}, false)
	}
	b.Receive(later, contact("old0", 2), "near", membership.StoreProgress{}, false)
	b.ReceiveIndirect(later, contact("heard of", 1), 0)
	passed := map[domain.BoxID]int{}
	for range 60 {
		list := b.PeersToAdvertise(later, 16, 2)
		if len(list) != 4 {
			t.Fatalf("%d are passed on, want the two that are new and two more", len(list))
		}
		for c := range list {
			passed[c.Box]++
		}
	}
	if passed["old0"] != 60 || passed["heard of"] != 60 {
		t.Errorf("new boxes were passed on %d and %d times of 60", passed["old0"], passed["heard of"])
	}
	if len(passed) != 21 {
		t.Errorf("%d of 21 boxes were passed on", len(passed))
	}
}

// TestABoxThatStartsLearnsOfItsHallFromOthers: most of a hundred boxes have not spoken to it
// themselves.
func TestABoxThatStartsLearnsOfItsHallFromOthers(t *testing.T) {
	teller, b := newBoxes(), newBoxes()
	for i := range 40 {
		hall := domain.HallName(fmt.Sprintf("hall-%d", i%2))
		teller.Receive(start, contact(fmt.Sprintf("b%02d", i), 1), hall, membership.StoreProgress{}, false)
	}
	for c, ago := range teller.PeersToAdvertise(start.Add(time.Second), 40, 2) {
		b.ReceiveIndirect(start.Add(time.Second), c, ago)
	}
	if n := len(b.InHall(start.Add(time.Second), "hall-1")); n != 20 {
		t.Errorf("it knows %d of the 20 boxes of its hall", n)
	}
}

// edition is that of the version, as the store has it at the revision of the same number.
func edition(v catalog.Version) catalog.Edition {
	return catalog.Edition{Version: v, At: pos(store.Revision(v))}
}
