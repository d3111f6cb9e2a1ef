package follow_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/store"
	"clovertrail.dev/store/follow"
)

var start = time.Unix(1_800_000_000, 0)

var pace = follow.Timing{
	Wait: 1500 * time.Millisecond, MaxWait: 20 * time.Second,
	MinBackoff: 100 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
}

func newFollower() *follow.Follower { return follow.New(pace, rand.New(rand.NewPCG(1, 2))) }

func TestListsOnceThenWatchesFromThere(t *testing.T) {
	f := newFollower()
	if _, ok := f.Next(start).(follow.List); !ok {
		t.Fatal("does not begin with a listing")
	}
	f.Listed(start, pos(40), nil)
	w, ok := f.Next(start).(follow.Watch)
	if !ok || w.Since != pos(40) {
		t.Fatalf("got %+v", f.Next(start))
	}
	f.Watched(start, pos(43), nil)
	if w = f.Next(start).(follow.Watch); w.Since != pos(43) {
		t.Errorf("watches from %v, want 43", w.Since)
	}
	f.Watched(start, pos(41), nil) // an older answer
	if w = f.Next(start).(follow.Watch); w.Since != pos(43) {
		t.Errorf("went back to %v", w.Since)
	}
}

func TestLostHistoryIsListedAnewAtOnce(t *testing.T) {
	f := newFollower()
	f.Listed(start, pos(40), nil)
	f.Watched(start, store.Position{}, store.ErrHistoryLost)
	if _, ok := f.Next(start).(follow.List); !ok {
		t.Errorf("got %+v", f.Next(start))
	}
}

func TestPausesGrowUpToTheMostAndEndWithSuccess(t *testing.T) {
	f := newFollower()
	f.Listed(start, pos(40), nil)
	now := start
	for i := range 12 {
		f.Watched(now, store.Position{}, store.ErrUnavailable)
		r, ok := f.Next(now).(follow.Sleep)
		if !ok {
			t.Fatalf("failure %d: %+v", i, f.Next(now))
		}
		usual := min(pace.MinBackoff<<i, pace.MaxBackoff)
		if d := r.Until.Sub(now); d < usual/2 || d > usual*3/2 {
			t.Errorf("failure %d: a pause of %v, want about %v", i, d, usual)
		}
		now = r.Until
		if w, ok := f.Next(now).(follow.Watch); !ok || w.Since != pos(40) {
			t.Fatalf("after the pause: %+v", f.Next(now))
		}
	}
	if !f.FailingSince().Equal(start) {
		t.Errorf("lost at %v, want the first failure", f.FailingSince())
	}
	f.Watched(now, pos(41), nil)
	if !f.FailingSince().IsZero() || !f.LastSuccess().Equal(now) {
		t.Error("a success does not end the trouble")
	}
	f.Watched(now, store.Position{}, errors.New("again"))
	if d := f.Next(now).(follow.Sleep).Until.Sub(now); d > pace.MinBackoff*3/2 {
		t.Errorf("the first pause after a success is %v", d)
	}
}

// fleetOf gives followers that all have just seen the same change.
func fleetOf(boxes int) []*follow.Follower {
	list := make([]*follow.Follower, boxes)
	for i := range list {
		list[i] = follow.New(pace, rand.New(rand.NewPCG(uint64(i), 7)))
		list[i].Listed(start, pos(1), nil)
		list[i].Watched(start, pos(2), nil)
		list[i].Changed(start)
		list[i].SetPeers(boxes, i)
	}
	return list
}

// endsOf gives when watches end until the time, if nothing changes any more.
func endsOf(list []*follow.Follower, until time.Duration) []time.Duration {
	var ends []time.Duration
	for _, f := range list {
		for now := start; now.Before(start.Add(until)); {
			switch c := f.Next(now).(type) {
			case follow.Watch:
				now = now.Add(c.Wait)
				f.Watched(now, pos(2), nil)
				ends = append(ends, now.Sub(start))
			case follow.Sleep:
				now = c.Until
			}
		}
	}
	slices.Sort(ends)
	return ends
}

// TestManyBoxesTogetherAskAsOftenAsFew: the store is asked as often however many boxes
// there are.
func TestManyBoxesTogetherAskAsOftenAsFew(t *testing.T) {
	const while = 5 * time.Minute
	for _, boxes := range []int{8, 30, 50} {
		if r := float64(len(endsOf(fleetOf(boxes), while))) / while.Seconds(); r < 1.5 || r > 4 {
			t.Errorf("%d boxes make %.1f calls a second together", boxes, r)
		}
	}
	if alone := float64(len(endsOf(fleetOf(1), while))) / while.Seconds(); alone > 1 {
		t.Errorf("one box makes %.1f calls a second", alone)
	}
	f := newFollower()
	f.Listed(start, pos(1), nil)
	f.SetPeers(1000, 999)
	if w := f.Next(start).(follow.Watch); w.Wait > pace.MaxWait {
		t.Errorf("waits %v, the most is %v", w.Wait, pace.MaxWait)
	}
}

// TestADroppedWatchIsNoticedSoonAfterAChange: a change ends all watches at once. If the
// store then silently drops the next ones, some box must ask again before long, also if
// a third of the boxes cannot notify the others.
func TestADroppedWatchIsNoticedSoonAfterAChange(t *testing.T) {
	for _, boxes := range []int{8, 20, 39} {
		list := fleetOf(boxes)
		ends := endsOf(append(list[:boxes/3], list[2*boxes/3:]...), 20*time.Second)
		last := time.Duration(0)
		for _, end := range ends {
			if end < 20*time.Second && end-last > 2*pace.Wait {
				t.Errorf("%d boxes: nobody asks between %v and %v", boxes, last, end)
			}
			last = end
		}
	}
}

// TestChangesInQuickSuccessionAreGathered: each change would end the watches of all.
func TestChangesInQuickSuccessionAreGathered(t *testing.T) {
	p := pace
	p.ChangePause = 250 * time.Millisecond
	f := follow.New(p, rand.New(rand.NewPCG(1, 2)))
	f.Listed(start, pos(1), nil)
	f.Watched(start, pos(2), nil)
	f.Changed(start)
	if r, ok := f.Next(start).(follow.Sleep); !ok || !r.Until.Equal(start.Add(p.ChangePause)) {
		t.Errorf("after a change: %+v", f.Next(start))
	}
	if _, ok := f.Next(start.Add(p.ChangePause)).(follow.Watch); !ok {
		t.Error("does not watch again")
	}
}

// TestABoxThatIsToldDoesNotAskTheStore: one of a hundred boxes starts, is told by others
// what the store holds before its first pause is over, and later is told no more.
func TestABoxThatIsToldDoesNotAskTheStore(t *testing.T) {
	p := pace
	p.MaxStartDelay = time.Second
	f := follow.New(p, rand.New(rand.NewPCG(3, 4)))
	if _, ok := f.Next(start).(follow.Sleep); !ok {
		t.Fatalf("at its start it does %v", f.Next(start))
	}
	f.CaughtUpFromPeers(start, pos(7))
	f.SetDelegated(true)
	if c, ok := f.Next(start.Add(time.Minute)).(follow.Sleep); !ok || c.Until.Sub(start) > time.Minute+time.Second {
		t.Errorf("while it is told it does %v", f.Next(start.Add(time.Minute)))
	}
	f.CaughtUpFromPeers(start, pos(9))
	f.SetDelegated(false)
	if w, ok := f.Next(start.Add(2 * time.Minute)).(follow.Watch); !ok || w.Since != pos(9) {
		t.Errorf("told no more it does %v, want a watch since 9", f.Next(start.Add(2*time.Minute)))
	}
}

// TestABoxThatIsNotToldListsAfterItsFirstPause: it may be the only one.
func TestABoxThatIsNotToldListsAfterItsFirstPause(t *testing.T) {
	p := pace
	p.MaxStartDelay = time.Second
	f := follow.New(p, rand.New(rand.NewPCG(3, 4)))
	f.Next(start)
	f.CaughtUpFromPeers(start, store.Position{})
	if _, ok := f.Next(start.Add(time.Second)).(follow.List); !ok {
		t.Errorf("after its first pause it does %v", f.Next(start.Add(time.Second)))
	}
}

// TestPeersDoNotStandInForALostHistory: what they know may be as old.
func TestPeersDoNotStandInForALostHistory(t *testing.T) {
	f := follow.New(pace, rand.New(rand.NewPCG(3, 4)))
	f.Listed(start, pos(5), nil)
	f.Watched(start, store.Position{}, store.ErrHistoryLost)
	f.CaughtUpFromPeers(start, pos(6))
	if _, ok := f.Next(start.Add(time.Minute)).(follow.List); !ok {
		t.Errorf("after its history was lost it does %v", f.Next(start.Add(time.Minute)))
	}
}

// pos is the position of the revision in the first era.
func pos(rev store.Revision) store.Position { return store.PositionOf(1, rev) }

// TestALaterEraIsListedAnew guards against watches that go on from a revision of before a
// restore, so that what the store lost, and what it was given before it passed that revision,
// stays unknown.
func TestALaterEraIsListedAnew(t *testing.T) {
	later := store.PositionOf(2, 50)
	tests := []struct {
		name string
		tell func(f *follow.Follower)
		list bool
		from store.Position // of the watch, if it is not listed
	}{
		{"a watch is answered in it", func(f *follow.Follower) {
			if f.Watched(start, later, nil) {
				t.Error("the changes are taken for those that follow")
			}
		}, true, store.Position{}},
		{"the revision is not there", func(f *follow.Follower) { f.Watched(start, store.Position{}, store.ErrHistoryLost) }, true, store.Position{}},
		{"another answer states it", func(f *follow.Follower) { f.ObserveEra(2) }, true, store.Position{}},
		{"it is stated again", func(f *follow.Follower) {
			f.ObserveEra(2)
			f.Listed(start, later, nil)
			f.ObserveEra(2)
		}, false, later},
		{"the next follows at once", func(f *follow.Follower) {
			f.ObserveEra(2)
			f.Listed(start, later, nil)
			f.ObserveEra(3)
		}, true, store.Position{}},
		{"another box reports one that the store does not state", func(f *follow.Follower) {
			f.ObserveEra(9)
			f.Listed(start, later, nil)
			f.ObserveEra(9)
		}, false, later},
		{"other boxes have all that is in it", func(f *follow.Follower) {
			f.ObserveEra(2)
			f.CaughtUpFromPeers(start, later)
		}, false, later},
		{"other boxes have all, after the history was lost", func(f *follow.Follower) {
			f.Watched(start, store.Position{}, store.ErrHistoryLost)
			f.CaughtUpFromPeers(start, later)
		}, false, later},
		{"other boxes have what was before", func(f *follow.Follower) {
			f.Watched(start, store.Position{}, store.ErrHistoryLost)
			f.CaughtUpFromPeers(start, pos(90))
		}, true, store.Position{}},
		{"a late answer of the era before", func(f *follow.Follower) {
			f.Listed(start, later, nil)
			f.Watched(start, pos(90), nil)
		}, false, later},
		{"a late listing of the era before", func(f *follow.Follower) {
			f.CaughtUpFromPeers(start, later)
			f.Listed(start, pos(90), nil)
		}, false, later},
	}
	for _, tc := range tests {
		f := newFollower()
		f.Listed(start, pos(60), nil)
		f.ObserveEra(1)
		tc.tell(f)
		switch c := f.Next(start).(type) {
		case follow.List:
			if !tc.list {
				t.Errorf("%s: listed", tc.name)
			}
		case follow.Watch:
			if tc.list || c.Since != tc.from {
				t.Errorf("%s: watched from %v", tc.name, c.Since)
			}
		default:
			t.Errorf("%s: %+v", tc.name, c)
		}
	}
}

// TestAStoreThatLosesEachHistoryIsNotPressed guards against a listing and a refused watch in turn
// without a pause.
func TestAStoreThatLosesEachHistoryIsNotPressed(t *testing.T) {
	f := newFollower()
	f.Listed(start, pos(40), nil)
	now, calls := start, 0
	for now.Before(start.Add(10 * time.Second)) {
		switch c := f.Next(now).(type) {
		case follow.List:
			f.Listed(now, pos(40), nil)
		case follow.Watch:
			f.Watched(now, store.Position{}, store.ErrHistoryLost)
		case follow.Sleep:
			now = c.Until
			continue
		}
		calls++
		now = now.Add(time.Millisecond)
	}
	if calls > 100 {
		t.Errorf("%d calls in ten seconds", calls)
	}
}

// TestAfterARestoreTheKindIsListedOnceMore guards against entries of the copy that nobody writes
// again, and that stay as they were taken at the restore.
func TestAfterARestoreTheKindIsListedOnceMore(t *testing.T) {
	settling := pace
	settling.RelistDelay = 5 * time.Second
	for _, told := range []bool{false, true} {
		f := follow.New(settling, rand.New(rand.NewPCG(1, 2)))
		f.Listed(start, pos(60), nil)
		f.SetDelegated(told)
		f.CaughtUpFromPeers(start, store.PositionOf(2, 40))
		var listed []time.Duration
		for now := start; now.Before(start.Add(20 * time.Second)); {
			switch c := f.Next(now).(type) {
			case follow.List:
				if now.Before(start.Add(settling.RelistDelay + 300*time.Millisecond)) {
					f.Listed(now, store.Position{}, store.ErrUnavailable)
					continue
				}
				listed = append(listed, now.Sub(start))
				f.Listed(now, store.PositionOf(2, 45), nil)
			case follow.Watch:
				now = now.Add(c.Wait)
				f.Watched(now, store.PositionOf(2, 45), nil)
			case follow.Sleep:
				now = c.Until
			}
		}
		if len(listed) != 1 || listed[0] < settling.RelistDelay || listed[0] > settling.RelistDelay+time.Second {
			t.Errorf("told by another box %v: listed after %v", told, listed)
		}
	}
}
