package clock_test

import (
	"errors"
	"testing"
	"time"

	"clovertrail.dev/core/clock"
)

// TestPausesAreFound guards against a box that takes what it reads after a pause for recent: a pause has to be known before the next
// regular check, and delays that are usual on a busy machine are none.
func TestPausesAreFound(t *testing.T) {
	const interval = 200 * time.Millisecond
	var offset time.Duration
	var offsetErr error
	p := clock.NewPauses(interval, func() (time.Duration, time.Duration, error) { return offset, 0, offsetErr })
	now := time.Unix(1000, 0)
	expect := func(what string, want time.Time) {
		t.Helper()
		if got := p.LastEnd(now); !got.Equal(want) {
			t.Errorf("%s: the last pause ended at %v, want %v", what, got, want)
		}
	}
	never := time.Time{}
	expect("before the first check", never)
	offset, offsetErr = time.Hour, errors.New("no clock") // of suspensions before the process started
	p.Check(now)
	offsetErr = nil
	expect("clocks could not be read before", never)
	p.Check(now)
	now = now.Add(interval + 200*time.Millisecond)
	expect("late by 200 ms", never)
	p.Check(now)
	expect("checked", never)
	now = now.Add(2 * time.Second)
	expect("not checked since the pause", now)
	now = now.Add(time.Millisecond)
	if !p.Check(now) {
		t.Error("the check after a pause does not report it")
	}
	ended := now
	now = now.Add(interval)
	expect("checked since the pause", ended)
	if p.Check(now) {
		t.Error("a check in time reports a pause")
	}
	offset += 3 * time.Second // the monotonic clock stands still in a suspension
	now = now.Add(time.Millisecond)
	expect("not checked since the suspension", now)
	p.Check(now)
	ended = now
	now = now.Add(interval)
	expect("checked since the suspension", ended)
	offset, offsetErr = 0, errors.New("no clock")
	p.Check(now)
	expect("clocks cannot be read", ended)
}
