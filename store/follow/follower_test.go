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

var timing = follow.Timing{
	Wait: 1500 * time.Millisecond, MaxWait: 20 * time.Second,
	MinBackoff: 100 * time.Millisecond, MaxBackoff: 500 * time.Millisecond,
}

func newFollower() *follow.Follower { return follow.New(timing, rand.New(rand.NewPCG(1, 2))) }

func TestFollowerListsOnceThenWatches(t *testing.T) {
	f := newFollower()
	if _, ok := f.Next(start).(follow.List); !ok {
		t.Fatal("first command is not a listing")
	}
	f.Listed(start, pos(40), nil)
	w, ok := f.Next(start).(follow.Watch)
	if !ok || w.Since != pos(40) {
		t.Fatalf("got %+v", f.Next(start))
	}
	f.Watched(start, pos(43), nil)
	if w = f.Next(start).(follow.Watch); w.Since != pos(43) {
		t.Errorf("watches since %v, want revision 43", w.Since)
	}
	f.Watched(start, pos(41), nil) // an older response
	if w = f.Next(start).(follow.Watch); w.Since != pos(43) {
		t.Errorf("watches since %v after an older response, want revision 43", w.Since)
	}
}

func TestFollowerRelistsAtOnceAfterLostHistory(t *testing.T) {
	f := newFollower()
	f.Listed(start, pos(40), nil)
	f.Watched(start, store.Position{}, store.ErrHistoryLost)
	if _, ok := f.Next(start).(follow.List); !ok {
		t.Errorf("got %+v", f.Next(start))
	}
}

// TestWatchAfterFailureIsShort guards against a box that overlooks for a whole watch that the store was restored while it could not
// be reached: a store that has assigned the revision of the position again does not respond before the end of the watch.
func TestWatchAfterFailureIsShort(t *testing.T) {
	const longest = 250 * time.Millisecond
	for _, boxes := range []int{1, 30} {
		f := newFollower()
		f.SetPeers(boxes, 0)
		f.Listed(start, pos(40), nil)
		f.Watched(start, store.Position{}, store.ErrUnavailable)
		now := f.Next(start).(follow.Sleep).Until
		if w, ok := f.Next(now).(follow.Watch); !ok || w.Since != pos(40) || w.Wait <= 0 || w.Wait > longest {
			t.Errorf("%d boxes, after a failure: %+v, want a watch of at most %v", boxes, f.Next(now), longest)
		}
		f.Watched(now, pos(40), nil)
		if w, ok := f.Next(now).(follow.Watch); !ok || w.Wait < timing.Wait/2 {
			t.Errorf("%d boxes, after a response: %+v", boxes, f.Next(now))
		}
	}
}

func TestBackoffGrowsUntilSuccess(t *testing.T) {
	f := newFollower()
	f.Listed(start, pos(40), nil)
	now := start
	for i := range 12 {
		f.Watched(now, store.Position{}, store.ErrUnavailable)
		r, ok := f.Next(now).(follow.Sleep)
		if !ok {
			t.Fatalf("failure %d: %+v", i, f.Next(now))
		}
		usual := min(timing.MinBackoff<<i, timing.MaxBackoff)
		if d := r.Until.Sub(now); d < usual/2 || d > usual*3/2 {
			t.Errorf("failure %d: pause of %v, want about %v", i, d, usual)
		}
		now = r.Until
		if w, ok := f.Next(now).(follow.Watch); !ok || w.Since != pos(40) {
			t.Fatalf("after the pause: %+v", f.Next(now))
		}
	}
	if !f.FailingSince().Equal(start) {
		t.Errorf("failing since %v, want the time of the first failure", f.FailingSince())
	}
	f.Watched(now, pos(41), nil)
	if !f.FailingSince().IsZero() || !f.LastSuccess().Equal(now) {
		t.Error("still failing after a success")
	}
	f.Watched(now, store.Position{}, errors.New("again"))
	if d := f.Next(now).(follow.Sleep).Until.Sub(now); d > timing.MinBackoff*3/2 {
		t.Errorf("first pause after a success is %v", d)
	}
}

// newFleet returns the followers of the given number of boxes, which have all just observed the same change.
func newFleet(boxes int) []*follow.Follower {
	list := make([]*follow.Follower, boxes)
	for i := range list {
		list[i] = follow.New(timing, rand.New(rand.NewPCG(uint64(i), 7)))
		list[i].Listed(start, pos(1), nil)
		list[i].Watched(start, pos(2), nil)
		list[i].Changed(start)
		list[i].SetPeers(boxes, i)
	}
	return list
}

// watchEnds returns the times at which watches end, up to the given time, if nothing changes any more.
func watchEnds(list []*follow.Follower, until time.Duration) []time.Duration {
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

// TestCallRateIsIndependentOfFleetSize checks that the rate of calls to the store stays about the same
// however many boxes there are.
func TestCallRateIsIndependentOfFleetSize(t *testing.T) {
	const period = 5 * time.Minute
	for _, boxes := range []int{8, 30, 50} {
		if r := float64(len(watchEnds(newFleet(boxes), period))) / period.Seconds(); r < 1.5 || r > 4 {
			t.Errorf("%d boxes make %.1f calls a second in total", boxes, r)
		}
	}
	if rate := float64(len(watchEnds(newFleet(1), period))) / period.Seconds(); rate > 1 {
		t.Errorf("one box makes %.1f calls a second", rate)
	}
	f := newFollower()
	f.Listed(start, pos(1), nil)
	f.SetPeers(1000, 999)
	if w := f.Next(start).(follow.Watch); w.Wait > timing.MaxWait {
		t.Errorf("waits %v, want at most %v", w.Wait, timing.MaxWait)
	}
}

// TestDroppedWatchesAreNoticedAfterChange guards against a gap without any call after a change, which
// ends all watches at once: if the store silently drops the next ones, some box must call again soon,
// even if a third of the boxes cannot notify the others.
func TestDroppedWatchesAreNoticedAfterChange(t *testing.T) {
	for _, boxes := range []int{8, 20, 39} {
		list := newFleet(boxes)
		ends := watchEnds(append(list[:boxes/3], list[2*boxes/3:]...), 20*time.Second)
		last := time.Duration(0)
		for _, end := range ends {
			if end < 20*time.Second && end-last > 2*timing.Wait {
				t.Errorf("%d boxes: no call between %v and %v", boxes, last, end)
			}
			last = end
		}
	}
}

// TestFollowerPausesAfterChanges guards against a series of changes each of which ends the watches of
// all boxes.
func TestFollowerPausesAfterChanges(t *testing.T) {
	withPause := timing
	withPause.ChangePause = 250 * time.Millisecond
	f := follow.New(withPause, rand.New(rand.NewPCG(1, 2)))
	f.Listed(start, pos(1), nil)
	f.Watched(start, pos(2), nil)
	f.Changed(start)
	if r, ok := f.Next(start).(follow.Sleep); !ok || !r.Until.Equal(start.Add(withPause.ChangePause)) {
		t.Errorf("after a change: %+v", f.Next(start))
	}
	if _, ok := f.Next(start.Add(withPause.ChangePause)).(follow.Watch); !ok {
		t.Error("does not watch again after the pause")
	}
}

// TestDelegatedFollowerDoesNotCallStore checks that a box which starts among a hundred, and receives
// the records from peers before its start delay is over, does not call the store until its peers
// stop following the store for it.
func TestDelegatedFollowerDoesNotCallStore(t *testing.T) {
	withDelay := timing
	withDelay.MaxStartDelay = time.Second
	f := follow.New(withDelay, rand.New(rand.NewPCG(3, 4)))
	if _, ok := f.Next(start).(follow.Sleep); !ok {
		t.Fatalf("at its start: %+v, want a pause", f.Next(start))
	}
	f.CaughtUpFromPeers(start, pos(7))
	f.SetDelegated(true)
	if c, ok := f.Next(start.Add(time.Minute)).(follow.Sleep); !ok || c.Until.Sub(start) > time.Minute+time.Second {
		t.Errorf("while delegated: %+v, want a short pause", f.Next(start.Add(time.Minute)))
	}
	f.CaughtUpFromPeers(start, pos(9))
	f.SetDelegated(false)
	if w, ok := f.Next(start.Add(2 * time.Minute)).(follow.Watch); !ok || w.Since != pos(9) {
		t.Errorf("no longer delegated: %+v, want a watch since revision 9", f.Next(start.Add(2*time.Minute)))
	}
}

// TestFollowerWithoutPeersListsAfterStartDelay checks that a box which receives no records from peers
// lists after its start delay, as it may be the only one.
func TestFollowerWithoutPeersListsAfterStartDelay(t *testing.T) {
	withDelay := timing
	withDelay.MaxStartDelay = time.Second
	f := follow.New(withDelay, rand.New(rand.NewPCG(3, 4)))
	f.Next(start)
	f.CaughtUpFromPeers(start, store.Position{})
	if _, ok := f.Next(start.Add(time.Second)).(follow.List); !ok {
		t.Errorf("after the start delay: %+v, want a listing", f.Next(start.Add(time.Second)))
	}
}

// TestStartDelaysOfManyBoxes checks that of hundreds of boxes that start together a few list first, so
// that the others can receive the records from them, and that a box on which others rely lists at once.
func TestStartDelaysOfManyBoxes(t *testing.T) {
	withDelay := timing
	withDelay.MaxStartDelay = 3 * time.Second
	for _, boxes := range []int{8, 432, 1000} {
		early := 0
		for i := range boxes {
			f := follow.New(withDelay, rand.New(rand.NewPCG(5, uint64(i))))
			f.Next(start)
			if _, ok := f.Next(start.Add(withDelay.MaxStartDelay / 2)).(follow.List); ok {
				early++
			}
			if _, ok := f.Next(start.Add(withDelay.MaxStartDelay)).(follow.List); !ok {
				t.Errorf("box %d of %d does not list after the longest delay", i, boxes)
			}
		}
		if most := 1 + boxes/50; early > most {
			t.Errorf("%d of %d boxes list in the first half of the delay, want at most %d", early, boxes, most)
		}
	}
	f := follow.New(withDelay, rand.New(rand.NewPCG(5, 6)))
	f.SetReliedOn(true)
	if _, ok := f.Next(start).(follow.List); !ok {
		t.Errorf("a box that others rely on: %+v, want a listing", f.Next(start))
	}
}

// TestPeersDoNotReplaceLostHistory guards against going on from the records of peers after the store
// lost its history: these records may be as old as the box's own.
func TestPeersDoNotReplaceLostHistory(t *testing.T) {
	f := follow.New(timing, rand.New(rand.NewPCG(3, 4)))
	f.Listed(start, pos(5), nil)
	f.Watched(start, store.Position{}, store.ErrHistoryLost)
	f.CaughtUpFromPeers(start, pos(6))
	if _, ok := f.Next(start.Add(time.Minute)).(follow.List); !ok {
		t.Errorf("after a lost history: %+v, want a listing", f.Next(start.Add(time.Minute)))
	}
}

// pos returns the position of the revision in the first era.
func pos(rev store.Revision) store.Position { return store.PositionOf(1, rev) }

// TestFollowerRelistsInLaterEra guards against watches that go on, after a restore of the store, from a
// revision of before the restore. They would miss what the store lost in the restore, and what was
// written to it until it passed that revision again.
func TestFollowerRelistsInLaterEra(t *testing.T) {
	later := store.PositionOf(2, 50)
	tests := []struct {
		name    string
		observe func(f *follow.Follower)
		list    bool           // whether the kind is listed
		since   store.Position // where the watch starts, if the kind is not listed
	}{
		{"a watch returns a later era", func(f *follow.Follower) {
			if f.Watched(start, later, nil) {
				t.Error("changes of a later era are accepted as the next ones")
			}
		}, true, store.Position{}},
		{"history lost", func(f *follow.Follower) { f.Watched(start, store.Position{}, store.ErrHistoryLost) }, true, store.Position{}},
		{"another response states a later era", func(f *follow.Follower) { f.ObserveEra(2) }, true, store.Position{}},
		{"the later era is stated again", func(f *follow.Follower) {
			f.ObserveEra(2)
			f.Listed(start, later, nil)
			f.ObserveEra(2)
		}, false, later},
		{"the next era follows at once", func(f *follow.Follower) {
			f.ObserveEra(2)
			f.Listed(start, later, nil)
			f.ObserveEra(3)
		}, true, store.Position{}},
		{"another box reports an era that the store does not state", func(f *follow.Follower) {
			f.ObserveEra(9)
			f.Listed(start, later, nil)
			f.ObserveEra(9)
		}, false, later},
		{"peers have all records of the later era", func(f *follow.Follower) {
			f.ObserveEra(2)
			f.CaughtUpFromPeers(start, later)
		}, false, later},
		{"peers have all records of the later era, history lost", func(f *follow.Follower) {
			f.Watched(start, store.Position{}, store.ErrHistoryLost)
			f.CaughtUpFromPeers(start, later)
		}, false, later},
		{"peers have records of the earlier era, history lost", func(f *follow.Follower) {
			f.Watched(start, store.Position{}, store.ErrHistoryLost)
			f.CaughtUpFromPeers(start, pos(90))
		}, true, store.Position{}},
		{"delayed response of the earlier era", func(f *follow.Follower) {
			f.Listed(start, later, nil)
			f.Watched(start, pos(90), nil)
		}, false, later},
		{"delayed listing of the earlier era", func(f *follow.Follower) {
			f.CaughtUpFromPeers(start, later)
			f.Listed(start, pos(90), nil)
		}, false, later},
	}
	for _, tc := range tests {
		f := newFollower()
		f.Listed(start, pos(60), nil)
		f.ObserveEra(1)
		tc.observe(f)
		switch c := f.Next(start).(type) {
		case follow.List:
			if !tc.list {
				t.Errorf("%s: listed, want a watch", tc.name)
			}
		case follow.Watch:
			if tc.list || c.Since != tc.since {
				t.Errorf("%s: watched since %v, want a listing %v or a watch since %v", tc.name, c.Since, tc.list, tc.since)
			}
		default:
			t.Errorf("%s: %+v", tc.name, c)
		}
	}
}

// TestRepeatedHistoryLossBacksOff guards against listings that alternate with watches whose history is
// lost, without a pause between them.
func TestRepeatedHistoryLossBacksOff(t *testing.T) {
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
		t.Errorf("%d calls in ten seconds, want at most 100", calls)
	}
}

// TestFollowerRelistsAfterRestore guards against a box that keeps entries of the backup, as received at
// the restore, although nobody has written them again and they have lapsed in the store.
func TestFollowerRelistsAfterRestore(t *testing.T) {
	withRelist := timing
	withRelist.RelistDelay = 5 * time.Second
	for _, delegated := range []bool{false, true} {
		f := follow.New(withRelist, rand.New(rand.NewPCG(1, 2)))
		f.Listed(start, pos(60), nil)
		f.SetDelegated(delegated)
		f.CaughtUpFromPeers(start, store.PositionOf(2, 40))
		var listed []time.Duration
		for now := start; now.Before(start.Add(20 * time.Second)); {
			switch c := f.Next(now).(type) {
			case follow.List:
				if now.Before(start.Add(withRelist.RelistDelay + 300*time.Millisecond)) {
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
		if len(listed) != 1 || listed[0] < withRelist.RelistDelay || listed[0] > withRelist.RelistDelay+time.Second {
			t.Errorf("delegated %v: listed after %v, want once", delegated, listed)
		}
	}
}
