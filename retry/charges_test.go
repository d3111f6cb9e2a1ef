package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"clovertrail.dev/retry"
)

// drawOutcome cancels or moves the current attempt as far as the machine allows, and returns its outcome.
func drawOutcome(rt *rapid.T, m *retry.Machine) retry.Outcome {
	cancelled := rapid.Bool().Draw(rt, "overdue") && m.ReplaceOverdue(begin)
	outcome := rapid.SampledFrom([]retry.Outcome{
		retry.Answered{}, retry.NotSent{Err: errLost}, declined, retry.Failed{Status: 500}, retry.Lost{Err: errLost},
		retry.Broken{Err: errLost}, retry.Broken{Err: errLost, Forwarded: true}, retry.Expired{},
	}).Draw(rt, "outcome")
	if rapid.Bool().Draw(rt, "move") && m.Move(begin) {
		outcome = retry.Moved{}
	}
	if cancelled {
		return retry.ResolveTimeout(outcome)
	}
	return outcome
}

// TestEachRetryIsChargedOnce draws random outcomes, cancellations and moves, and checks that each attempt
// after one that reached a target is charged exactly once, that a cancelled attempt is always followed by
// another, and that no more than one charge is left unused.
func TestEachRetryIsChargedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := rules(rapid.IntRange(once, resume).Draw(rt, "kind"))
		r.MaxAttempts = rapid.IntRange(1, 4).Draw(rt, "attempts")
		b := &fakeBudget{left: rapid.IntRange(0, 5).Draw(rt, "retries")}
		allowed := b.left
		m := retry.NewMachine(r, b)
		cmd := m.Start(begin)
		retries := 0 // attempts after one that reached a target
		for range 12 {
			if _, open := cmd.(retry.Try); !open {
				break
			}
			outcome := drawOutcome(rt, m)
			before := allowed - b.left - retries
			cmd = m.Ended(begin, outcome)
			_, again := cmd.(retry.Try)
			_, notSent := outcome.(retry.NotSent)
			_, timedOut := outcome.(retry.FirstByteTimedOut)
			if again && !notSent {
				retries++
			}
			if timedOut && !again {
				rt.Fatalf("cancelled without another attempt: %s", summary(cmd))
			}
			if after := allowed - b.left - retries; after < 0 || after > before || after > 1 {
				rt.Fatalf("%d retries, %d charged; %d unused charges before", retries, allowed-b.left, before)
			}
		}
	})
}
