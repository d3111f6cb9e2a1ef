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

var pace = follow.Pace{
	Wait: 1500 * time.Millisecond, MostWait: 20 * time.Second,
	FirstPause: 100 * time.Millisecond, MostPause: 500 * time.Millisecond,
}

func newFollower() *follow.Follower { return follow.New(pace, rand.New(rand.NewPCG(1, 2))) }

func TestListsOnceThenWatchesFromThere(t *testing.T) {
	f := newFollower()
	if _, ok := f.Next(start).(follow.List); !ok {
		t.Fatal("does not begin with a listing")
	}
	f.Listed(start, 40, nil)
	w, ok := f.Next(start).(follow.Watch)
	if !ok || w.Since != 40 {
		t.Fatalf("got %+v", f.Next(start))
	}
	f.Watched(start, 43, nil)
	if w = f.Next(start).(follow.Watch); w.Since != 43 {
		t.Errorf("watches from %d, want 43", w.Since)
	}
	f.Watched(start, 41, nil) // an older answer
	if w = f.Next(start).(follow.Watch); w.Since != 43 {
		t.Errorf("went back to %d", w.Since)
	}
}

func TestLostHistoryIsListedAnewAtOnce(t *testing.T) {
	f := newFollower()
	f.Listed(start, 40, nil)
	f.Watched(start, 0, store.ErrHistoryLost)
	if _, ok := f.Next(start).(follow.List); !ok {
		t.Errorf("got %+v", f.Next(start))
	}
}

func TestPausesGrowUpToTheMostAndEndWithSuccess(t *testing.T) {
	f := newFollower()
	f.Listed(start, 40, nil)
	now := start
	for i := range 12 {
		f.Watched(now, 0, store.ErrUnavailable)
		r, ok := f.Next(now).(follow.Rest)
		if !ok {
			t.Fatalf("failure %d: %+v", i, f.Next(now))
		}
		usual := min(pace.FirstPause<<i, pace.MostPause)
		if d := r.Until.Sub(now); d < usual/2 || d > usual*3/2 {
			t.Errorf("failure %d: a pause of %v, want about %v", i, d, usual)
		}
		now = r.Until
		if w, ok := f.Next(now).(follow.Watch); !ok || w.Since != 40 {
			t.Fatalf("after the pause: %+v", f.Next(now))
		}
	}
	if !f.LostAt().Equal(start) {
		t.Errorf("lost at %v, want the first failure", f.LostAt())
	}
	f.Watched(now, 41, nil)
	if !f.LostAt().IsZero() || !f.GoodAt().Equal(now) {
		t.Error("a success does not end the trouble")
	}
	f.Watched(now, 0, errors.New("again"))
	if d := f.Next(now).(follow.Rest).Until.Sub(now); d > pace.FirstPause*3/2 {
		t.Errorf("the first pause after a success is %v", d)
	}
}

// fleetOf gives followers that all have just seen the same change.
func fleetOf(boxes int) []*follow.Follower {
	list := make([]*follow.Follower, boxes)
	for i := range list {
		list[i] = follow.New(pace, rand.New(rand.NewPCG(uint64(i), 7)))
		list[i].Listed(start, 1, nil)
		list[i].Watched(start, 2, nil)
		list[i].Changed(start)
		list[i].Among(boxes, i)
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
				f.Watched(now, 2, nil)
				ends = append(ends, now.Sub(start))
			case follow.Rest:
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
	f.Listed(start, 1, nil)
	f.Among(1000, 999)
	if w := f.Next(start).(follow.Watch); w.Wait > pace.MostWait {
		t.Errorf("waits %v, the most is %v", w.Wait, pace.MostWait)
	}
}

// TestADroppedWatchIsNoticedSoonAfterAChange: a change ends all watches at once. If the
// store then silently drops the next ones, some box must ask again before long, also if
// a third of the boxes cannot tell the others.
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
	p.Gather = 250 * time.Millisecond
	f := follow.New(p, rand.New(rand.NewPCG(1, 2)))
	f.Listed(start, 1, nil)
	f.Watched(start, 2, nil)
	f.Changed(start)
	if r, ok := f.Next(start).(follow.Rest); !ok || !r.Until.Equal(start.Add(p.Gather)) {
		t.Errorf("after a change: %+v", f.Next(start))
	}
	if _, ok := f.Next(start.Add(p.Gather)).(follow.Watch); !ok {
		t.Error("does not watch again")
	}
}

// TestABoxThatIsToldDoesNotAskTheStore: one of a hundred boxes starts, is told by others
// what the store holds before its first pause is over, and later is told no more.
func TestABoxThatIsToldDoesNotAskTheStore(t *testing.T) {
	p := pace
	p.First = time.Second
	f := follow.New(p, rand.New(rand.NewPCG(3, 4)))
	if _, ok := f.Next(start).(follow.Rest); !ok {
		t.Fatalf("at its start it does %v", f.Next(start))
	}
	f.CaughtUp(7)
	f.Told(true)
	if c, ok := f.Next(start.Add(time.Minute)).(follow.Rest); !ok || c.Until.Sub(start) > time.Minute+time.Second {
		t.Errorf("while it is told it does %v", f.Next(start.Add(time.Minute)))
	}
	f.CaughtUp(9)
	f.Told(false)
	if w, ok := f.Next(start.Add(2 * time.Minute)).(follow.Watch); !ok || w.Since != 9 {
		t.Errorf("told no more it does %v, want a watch since 9", f.Next(start.Add(2*time.Minute)))
	}
}

// TestABoxThatIsNotToldListsAfterItsFirstPause: it may be the only one.
func TestABoxThatIsNotToldListsAfterItsFirstPause(t *testing.T) {
	p := pace
	p.First = time.Second
	f := follow.New(p, rand.New(rand.NewPCG(3, 4)))
	f.Next(start)
	f.CaughtUp(0)
	if _, ok := f.Next(start.Add(time.Second)).(follow.List); !ok {
		t.Errorf("after its first pause it does %v", f.Next(start.Add(time.Second)))
	}
}

// TestPeersDoNotStandInForALostHistory: what they know may be as old.
func TestPeersDoNotStandInForALostHistory(t *testing.T) {
	f := follow.New(pace, rand.New(rand.NewPCG(3, 4)))
	f.Listed(start, 5, nil)
	f.Watched(start, 0, store.ErrHistoryLost)
	f.CaughtUp(6)
	if _, ok := f.Next(start.Add(time.Minute)).(follow.List); !ok {
		t.Errorf("after its history was lost it does %v", f.Next(start.Add(time.Minute)))
	}
}
