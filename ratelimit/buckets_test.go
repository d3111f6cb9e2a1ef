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

// TestBucketsIssueAtTheirRate checks that a box that requests permits whenever its turn is due gets nearly as
// many as the rate allows, and never more within a window than a target tolerates, not even after a long
// time without requests.
func TestBucketsIssueAtTheirRate(t *testing.T) {
	for _, rate := range []float64{0.2, 0.4, 1, 2.5, 30, 1000} {
		b := ratelimit.NewBuckets(source())
		var issued []time.Duration
		turn := at(0)
		const length, quietEnd = 200 * time.Second, 100 * time.Second
		for now := time.Duration(0); now < length; now += step {
			if now > 50*time.Second && now < quietEnd || at(now).Before(turn) {
				continue
			}
			n, next := b.Take(at(now), limited, rate)
			issued = append(issued, slices.Repeat([]time.Duration{now}, n)...)
			turn = next
		}
		f := fleet{sent: issued}
		if n := f.worst(0); n > tolerated(rate) {
			t.Errorf("rate %v a second: %d permits in %v, want at most %d", rate, n, window, tolerated(rate))
		}
		if available := rate * 150; float64(len(issued)) < 0.85*available-2 {
			t.Errorf("rate %v a second: %d permits in the 150 s with requests, want at least %.0f", rate, len(issued), 0.85*available-2)
		}
	}
}

// TestTurnsAreSpread checks that boxes that request permits at the same time and receive none are assigned
// successive turns, at the interval at which permits become available, and no turn later than the maximum
// of 10 s.
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
	for i, delay := range turns[:15] {
		if i > 0 && delay-turns[i-1] != 500*time.Millisecond {
			t.Errorf("turn %d is %v after the previous one, want 500ms", i, delay-turns[i-1])
		}
	}
	if last := slices.Max(turns); last > 10*time.Second {
		t.Errorf("the last turn is due in %v, want at most 10s", last)
	}
	// After a rise of the limit, the turns assigned at the lower rate must not delay the next box.
	if _, turn := b.Take(at(0), limited, 10); turn.Sub(at(0)) > 100*time.Millisecond {
		t.Errorf("at 10 permits a second the next turn is due in %v, want at most 100ms", turn.Sub(at(0)))
	}
}

// TestRateIsNeverZero checks that a target with a limit of nearly or exactly zero still gets a request every
// few seconds: a target states its limit only in its answers, so without requests the boxes would never
// receive a higher limit.
func TestRateIsNeverZero(t *testing.T) {
	for _, tc := range []struct {
		limit       call.Limit
		least, most float64
	}{
		{call.Limited{PerSecond: 3}, 3, 3},
		{call.Limited{}, 0.1, 0.25}, // at most one request in a window of 4 s
		{call.Limited{PerSecond: 1e-9}, 0.1, 0.25},
		{call.Unlimited{}, 1e9, -1}, // most below 0: no upper bound
	} {
		r := ratelimit.Rate(tc.limit)
		if r < tc.least || tc.most >= 0 && r > tc.most {
			t.Errorf("limit %v: rate %v a second, want %v to %v", tc.limit, r, tc.least, tc.most)
		}
	}
	if p := ratelimit.Share(3, 4); p != 0.75 {
		t.Errorf("the share of 3 of 4 boxes is %v, want 0.75", p)
	}
	if p := ratelimit.Share(5, 4); p != 1 {
		t.Errorf("the share of 5 of 4 boxes is %v, want 1", p)
	}
}
