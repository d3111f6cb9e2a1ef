package follow_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/store"
	"clovertrail.dev/store/follow"
)

func TestAvailabilityChangesWithAnswers(t *testing.T) {
	var a follow.Availability
	for i, tt := range []struct {
		err               error
		answered, changed bool
	}{
		{nil, true, false},
		{fmt.Errorf("watch: %w", store.ErrHistoryLost), true, false},
		{store.ErrUnavailable, false, true},
		{store.ErrRateLimited, false, false},
		{errors.New("connection refused"), false, false},
		{store.ErrHistoryLost, true, true},
		{nil, true, false},
	} {
		if answered, changed := a.Record(tt.err); answered != tt.answered || changed != tt.changed {
			t.Errorf("call %d (%v): answered %v, changed %v", i, tt.err, answered, changed)
		}
	}
}

// TestWatchEndsWhenFewBoxesAreLeft guards against a box whose watch the store has silently dropped, and which no other
// box notifies of changes any more.
func TestWatchEndsWhenFewBoxesAreLeft(t *testing.T) {
	long := timing.WaitFor(30)
	for _, tt := range []struct {
		name         string
		wait, waited time.Duration
		boxes        int
		want         bool
	}{
		{"as many boxes as before", long, long, 30, false},
		{"few boxes left, just begun", long, timing.Wait, 2, false},
		{"few boxes left", long, timing.Wait + follow.WaitCheckInterval + 1, 2, true},
		{"a short wait that the store does not answer", timing.Wait, time.Minute, 2, false},
	} {
		if got := timing.WaitsTooLong(follow.Watch{Wait: tt.wait}, tt.waited, tt.boxes); got != tt.want {
			t.Errorf("%s: too long %v", tt.name, got)
		}
	}
}

// TestWatchThatBoxEndsIsNoFailure checks that the follower goes on from where it was.
func TestWatchThatBoxEndsIsNoFailure(t *testing.T) {
	f := newFollower()
	f.Listed(start, pos(40), nil)
	f.WatchEnded(start.Add(time.Second))
	if w, ok := f.Next(start.Add(time.Second)).(follow.Watch); !ok || w.Since != pos(40) || !f.FailingSince().IsZero() {
		t.Errorf("after a watch that the box ended: %+v, failing since %v", f.Next(start.Add(time.Second)), f.FailingSince())
	}
}
