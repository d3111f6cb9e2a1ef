package follow_test

import (
	"errors"
	"math/rand/v2"
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

func TestManyBoxesTogetherAskAsOftenAsFew(t *testing.T) {
	rate := func(boxes int) float64 {
		f := newFollower()
		f.Listed(start, 1, nil)
		f.Among(boxes)
		sum := time.Duration(0)
		const n = 200
		for range n {
			sum += f.Next(start).(follow.Watch).Wait
		}
		return float64(boxes) * n / sum.Seconds()
	}
	for _, boxes := range []int{8, 30, 50} {
		if r := rate(boxes); r < 1.5 || r > 4 {
			t.Errorf("%d boxes make %.1f calls a second together", boxes, r)
		}
	}
	if alone := rate(1); alone > 1/1.0 {
		t.Errorf("one box makes %.1f calls a second", alone)
	}
	f := newFollower()
	f.Listed(start, 1, nil)
	f.Among(1000)
	if w := f.Next(start).(follow.Watch); w.Wait > pace.MostWait {
		t.Errorf("waits %v, the most is %v", w.Wait, pace.MostWait)
	}
}
