package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/retry"
)

// hasPart reports whether the caller has a part of the answer after an attempt with the outcome.
func hasPart(o retry.Outcome) bool {
	switch o := o.(type) {
	case retry.Broken:
		return o.Forwarded
	case retry.Moved:
		return true
	default:
		return false
	}
}

// drawAttempt draws the outcome of an attempt. The owner reports a part of the answer with each outcome after the caller has one, unless the
// attempt got no answer.
func drawAttempt(rt *rapid.T, forwarded bool) retry.Outcome {
	part := forwarded || rapid.Bool().Draw(rt, "forwarded")
	return rapid.SampledFrom([]retry.Outcome{
		retry.NotSent{Err: errLost}, declined, retry.Failed{Status: 500}, retry.Lost{Err: errLost}, retry.Expired{}, retry.Suspected{Err: errLost},
		retry.Broken{Err: errLost, Forwarded: part}, retry.Broken{Err: errLost, Forwarded: part},
		retry.Broken{Err: errLost, Forwarded: part, Unresumable: part}, retry.Moved{},
	}).Draw(rt, "outcome")
}

// TestPartOfAnswerIsNeverForgotten guards against an attempt that ends just as its answer begins and counts as one that did not
// begin: the caller would get the beginning twice, or a refusal in the middle of an answer. It draws outcomes, each at any moment
// around the timeout for the first byte, and checks that once the caller has a part of an answer, the next attempt continues after
// it, or the answer is broken off.
func TestPartOfAnswerIsNeverForgotten(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.IntRange(once, resume).Draw(rt, "kind")
		r := rules(kind)
		r.MaxAttempts = rapid.IntRange(1, 6).Draw(rt, "attempts")
		m := retry.NewMachine(r, &fakeBudget{left: rapid.IntRange(0, 6).Draw(rt, "retries")})
		now := begin
		cmd := m.Start(now)
		forwarded, resumable := false, true
		for {
			try, open := cmd.(retry.Try)
			if !open {
				break
			}
			if try.Resume != forwarded || forwarded && (kind != resume || !resumable) {
				rt.Fatalf("attempt %d resumes: %v; the caller has a part: %v, which a target may continue: %v", try.Attempt, try.Resume, forwarded, resumable)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(rt, "ms")) * time.Millisecond)
			o := drawAttempt(rt, forwarded)
			if _, moved := o.(retry.Moved); moved && (!try.Movable || !m.Move(now)) {
				o = retry.Expired{}
			}
			forwarded = forwarded || hasPart(o)
			if b, ok := o.(retry.Broken); ok && b.Unresumable {
				resumable = false
			}
			if rapid.Bool().Draw(rt, "cancelled") && m.ReplaceOverdue(now) {
				o = retry.ResolveTimeout(o)
			}
			cmd = m.Ended(now, o)
		}
		if _, aborted := cmd.(retry.Abort); aborted != forwarded {
			rt.Fatalf("last command %s; the caller has a part: %v", summary(cmd), forwarded)
		}
	})
}
