package gateway_test

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"clovertrail.dev/retry"
)

// TestOverdueAttemptGoesOnIfNoneMayFollow guards against refusing a caller whose target answers late,
// while the retry budget is exhausted or no other target is left. The target answers only after the
// gateway has asked for another target at the timeout.
func TestOverdueAttemptGoesOnIfNoneMayFollow(t *testing.T) {
	event := "id: 1\ndata: a\n\n"
	late := streamHead + rawChunk(marked(event)) + lastChunk
	tests := []struct {
		name     string
		path     string
		script   string // of the first target, after the timeout
		budget   retry.Budget
		second   bool // there is a second target
		status   int
		body     string
		verdicts []string
	}{
		{"budget exhausted", "/impatient/", ok, exhaustedBudget{}, true, 200, "hello", []string{"a good"}},
		{"budget exhausted, stream", "/impatient-stream/", late, exhaustedBudget{}, true, 200, event, []string{"a good"}},
		{"budget exhausted, then declined", "/impatient/", busy, exhaustedBudget{}, true, 503, "", []string{"a full"}},
		{"no other target", "/impatient/", ok, unlimitedBudget{}, false, 200, "hello", []string{"a good"}},
		{"budget left", "/impatient/", hang, unlimitedBudget{}, true, 200, "hello", []string{"a bad", "b good"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			targets := []*target{newTarget(t, "a", wait+tc.script)}
			if tc.second {
				targets = append(targets, newTarget(t, "b", ok))
			}
			r := newBudgetedFixture(t, tc.budget, 0, targets...)
			targets[0].proceed = r.fleet.asked
			got := r.request("POST", tc.path, "body")
			if got.broken || got.status != tc.status || tc.body != "" && got.body != tc.body {
				t.Errorf("status %d, broken %v, body %q", got.status, got.broken, got.body)
			}
			if notRun := got.header.Get("Retry-After") != ""; notRun != (tc.status == 503) {
				t.Errorf("status %d with Retry-After %q", got.status, got.header.Get("Retry-After"))
			}
			if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
				t.Errorf("verdicts %v, want %v", r.fleet.verdicts, tc.verdicts)
			}
		})
	}
}

// TestOverdueAttemptThatNeverAnswersCountsAgainstTarget guards against a target that answers nothing and
// stays in use, because its attempts are not cancelled and end when their callers leave.
func TestOverdueAttemptThatNeverAnswersCountsAgainstTarget(t *testing.T) {
	r := newBudgetedFixture(t, exhaustedBudget{}, 0, newTarget(t, "a", hang), newTarget(t, "b", ok))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-r.fleet.asked
		cancel()
	}()
	if _, err := r.send(ctx, "/impatient/"); err == nil {
		t.Fatal("the cancelled request got a response")
	}
	for r.g.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	if !slices.Equal(r.fleet.verdicts, []string{"a bad"}) {
		t.Errorf("verdicts %v", r.fleet.verdicts)
	}
}

// TestStreamThatBeginsAsItIsCancelled guards against a stream that begins at the moment at which its target is given up, and begins
// again at the next target although the caller has its first event.
func TestStreamThatBeginsAsItIsCancelled(t *testing.T) {
	const timeout = 30 * time.Millisecond // for the first byte on the route
	for i := range 40 {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			a := newTarget(t, "a", wait+streamHead+eventChunk(eventOne)+hangUp)
			b := newTarget(t, "b", secondHead+eventChunk(eventTwo+eventThree)+lastChunk)
			proceed := make(chan struct{})
			a.proceed = proceed
			r := newFixture(t, a, b)
			time.AfterFunc(timeout+time.Duration(i-20)*time.Millisecond/4, func() { close(proceed) })
			got := r.request("POST", "/impatient-stream/", "p")
			want, after := eventTwo+eventThree, ""
			if got.header.Get("Signed") == "one" {
				want, after = eventOne+eventTwo+eventThree, "1"
			}
			if got.status != 200 || got.broken || got.body != want || b.requests()[0].Header.Get("After") != after {
				t.Errorf("status %d, signed %q, broken %v, body %q, after %q", got.status, got.header.Get("Signed"), got.broken, got.body, b.requests()[0].Header.Get("After"))
			}
			t.Logf("signed %q", got.header.Get("Signed"))
		})
	}
}
