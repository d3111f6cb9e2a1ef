package ratelimit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/ratelimit"
)

// source returns a random source with a fixed seed.
func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestBucketsIssueAtTheirRate: a box that requests permits whenever its turn is due gets the rate, and never
// more within a window than a target tolerates, also after a long time without requests.
func TestBucketsIssueAtTheirRate(t *testing.T) {
	for _, rate := range []float64{0.2, 0.4, 1, 2.5, 30, 1000} {
		b := ratelimit.NewBuckets(source())
		var got []time.Duration
		turn := at(0)
		const length, quiet = 200 * time.Second, 100 * time.Second
		for now := time.Duration(0); now < length; now += step {
			if now > 50*time.Second && now < quiet || at(now).Before(turn) {
				continue
			}
			n, next := b.Take(at(now), limited, rate)
			got = append(got, slices.Repeat([]time.Duration{now}, n)...)
			turn = next
		}
		f := fleet{sent: got}
		if n := f.worst(0); n > tolerated(rate) {
			t.Errorf("%v a second: %d permits in %v, want at most %d", rate, n, window, tolerated(rate))
		}
		if takes := rate * 150; float64(len(got)) < 0.85*takes-2 {
			t.Errorf("%v a second: %d permits in 150 s, want at least %.0f", rate, len(got), 0.85*takes-2)
		}
	}
}

// TestTurnsAreSpread: boxes that request permits at the same time and get none get successive turns, spaced
// as permits become available, and none later than the longest time until a turn.
func TestTurnsAreSpread(t *testing.T) {
	const boxes = 40
	b := ratelimit.NewBuckets(source())
	var turns []time.Duration
	for range boxes {
		if n, turn := b.Take(at(0), limited, 2); n == 0 {
			turns = append(turns, turn.Sub(at(0)))
		}
	}
	if len(turns) < boxes-2 {
		t.Fatalf("%d of %d boxes got a turn instead of a permit", len(turns), boxes)
	}
	for i, x := range turns[:15] {
		if i > 0 && x-turns[i-1] != 500*time.Millisecond {
			t.Errorf("turn %d is %v after the previous one, want 500ms", i, x-turns[i-1])
		}
	}
	if last := slices.Max(turns); last > 10*time.Second {
		t.Errorf("the last turn is in %v, want at most 10s", last)
	}
	// The limit has risen: earlier turns must not delay the next box.
	if _, turn := b.Take(at(0), limited, 10); turn.Sub(at(0)) > 100*time.Millisecond {
		t.Errorf("at ten a second the next turn is in %v, want at most 100ms", turn.Sub(at(0)))
	}
}

// TestRateIsNeverZero: a target with a limit of nearly or exactly zero still gets a request now and then,
// since it reports that the limit has ended only with its answers.
func TestRateIsNeverZero(t *testing.T) {
	for _, tc := range []struct {
		limit       call.Limit
		least, most float64
	}{
		{call.Limited{PerSecond: 3}, 3, 3},
		{call.Limited{}, 0.1, 0.25}, // one request in a window, or less
		{call.Limited{PerSecond: 1e-9}, 0.1, 0.25},
		{call.Unlimited{}, 1e9, -1},
	} {
		r := ratelimit.Rate(tc.limit)
		if r < tc.least || tc.most >= 0 && r > tc.most {
			t.Errorf("%v: rate %v a second, want %v to %v", tc.limit, r, tc.least, tc.most)
		}
	}
	if p := ratelimit.Share(3, 4); p != 0.75 {
		t.Errorf("the share of 3 of 4 boxes is %v", p)
	}
	if p := ratelimit.Share(5, 4); p != 1 {
		t.Errorf("the share of 5 of 4 boxes is %v", p)
	}
}
