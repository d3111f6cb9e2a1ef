package ratelimit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/ratelimit"
)

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestABankHandsOutItsRate: who asks whenever it is due gets the rate, and never more in a window
// than a target bears, also after a long time in which nobody asked.
func TestABankHandsOutItsRate(t *testing.T) {
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
		if n := f.worst(0); n > borne(rate) {
			t.Errorf("%v a second: %d in %v, %d are borne", rate, n, window, borne(rate))
		}
		if takes := rate * 150; float64(len(got)) < 0.85*takes-2 {
			t.Errorf("%v a second: %d in 150 s", rate, len(got))
		}
	}
}

// TestTurnsAreSpread: askers who come together and get nothing are told one turn after the other,
// as far apart as permits come, and none later than a turn goes.
func TestTurnsAreSpread(t *testing.T) {
	const askers = 40
	b := ratelimit.NewBuckets(source())
	var turns []time.Duration
	for range askers {
		if n, turn := b.Take(at(0), limited, 2); n == 0 {
			turns = append(turns, turn.Sub(at(0)))
		}
	}
	if len(turns) < askers-2 {
		t.Fatalf("%d of %d askers had to wait", len(turns), askers)
	}
	for i, x := range turns[:15] {
		if i > 0 && x-turns[i-1] != 500*time.Millisecond {
			t.Errorf("turn %d is %v after the one before", i, x-turns[i-1])
		}
	}
	if last := slices.Max(turns); last > 10*time.Second {
		t.Errorf("a turn is in %v", last)
	}
	// The limit has risen: turns that were told do not hold the next asker back.
	if _, turn := b.Take(at(0), limited, 10); turn.Sub(at(0)) > 100*time.Millisecond {
		t.Errorf("at ten a second the next turn is in %v", turn.Sub(at(0)))
	}
}

// TestRatesOfLimits: a target that takes hardly anything or nothing is tried now and then all the
// same, since only its answers report that this is over.
func TestRatesOfLimits(t *testing.T) {
	for _, tc := range []struct {
		limit       call.Limit
		least, most float64
	}{
		{call.Limited{PerSecond: 3}, 3, 3},
		{call.Limited{}, 0.1, 0.25}, // once in a window, or less
		{call.Limited{PerSecond: 1e-9}, 0.1, 0.25},
		{call.Unlimited{}, 1e9, -1},
	} {
		r := ratelimit.Rate(tc.limit)
		if r < tc.least || tc.most >= 0 && r > tc.most {
			t.Errorf("%v: %v a second", tc.limit, r)
		}
	}
	if p := ratelimit.Share(3, 4); p != 0.75 {
		t.Errorf("3 of 4 boxes have %v", p)
	}
	if p := ratelimit.Share(5, 4); p != 1 {
		t.Errorf("5 of 4 boxes have %v", p)
	}
}
