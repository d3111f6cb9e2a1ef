package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/retry"
)

// countingBudget allows a fixed number of retries and counts those that are charged.
type countingBudget struct {
	fakeBudget
	charged int
}

func (b *countingBudget) SpendRetry(now time.Time) bool {
	if !b.fakeBudget.SpendRetry(now) {
		return false
	}
	b.charged++
	return true
}

// step is a call of a Machine with its expected result.
type step struct {
	call any // a retry.Outcome, or overdue or move
	want string
}

// Calls of a Machine that return a decision.
type (
	overdue struct{}
	move    struct{}
)

// apply calls the machine and returns the result as text.
func apply(m *retry.Machine, now time.Time, call any) string {
	decisions := map[bool]string{true: "yes", false: "no"}
	switch c := call.(type) {
	case overdue:
		return decisions[m.ReplaceOverdue(now)]
	case move:
		return decisions[m.Move(now)]
	default:
		return summary(m.Ended(now, c.(retry.Outcome)))
	}
}

// TestOverdueAttemptIsReplacedOnlyIfRetryIsAllowed guards against attempts that are cancelled although no
// other may follow, so that the caller is refused where its target would have served it; against retries
// that are charged twice or not at all; and against "not run" without proof.
func TestOverdueAttemptIsReplacedOnlyIfRetryIsAllowed(t *testing.T) {
	timedOut, lost := retry.FirstByteTimedOut{}, retry.Lost{Err: errLost}
	lateDecline := retry.ResolveTimeout(declined)
	forwarded := retry.Broken{Err: errLost, Forwarded: true}
	tests := []struct {
		name    string
		kind    int
		budget  int
		steps   []step
		charged int
	}{
		{"budget left", repeat, 1, []step{{overdue{}, "yes"}, {timedOut, "try"}, {retry.Answered{}, "deliver"}}, 1},
		{"budget exhausted, answered late", repeat, 0, []step{{overdue{}, "no"}, {retry.Answered{}, "deliver"}}, 0},
		{"budget exhausted, declined late", repeat, 0, []step{{overdue{}, "no"}, {declined, "refuse overloaded"}}, 0},
		{"budget exhausted, lost", repeat, 0, []step{{overdue{}, "no"}, {lost, "refuse fate_unknown"}}, 0},
		{"budget exhausted, never answered", repeat, 0, []step{{overdue{}, "no"}, {retry.Expired{}, "refuse timed_out"}}, 0},
		{"once only", once, 9, []step{{overdue{}, "no"}, {retry.Answered{}, "deliver"}}, 0},
		{"last attempt", repeat, 9, []step{{lost, "try"}, {overdue{}, "no"}, {retry.Answered{}, "deliver"}}, 1},
		{"declined as it is cancelled", repeat, 1, []step{{overdue{}, "yes"}, {lateDecline, "try"}, {declined, "refuse overloaded"}}, 1},
		{"cancelled, then declined", repeat, 1, []step{{overdue{}, "yes"}, {timedOut, "try"}, {declined, "refuse fate_unknown"}}, 1},
		{"answered as it is cancelled", repeat, 1, []step{{overdue{}, "yes"}, {retry.ResolveTimeout(retry.Answered{}), "deliver"}}, 1},
		{"cancelled before it was sent", repeat, 1, []step{{overdue{}, "yes"}, {retry.ResolveTimeout(retry.NotSent{Err: errLost}), "try"}, {overdue{}, "yes"}, {timedOut, "try"}}, 1},
		{"events forwarded as it is cancelled", resume, 1, []step{{overdue{}, "yes"}, {retry.ResolveTimeout(forwarded), "resume"}}, 1},
		{"moved", resume, 1, []step{{move{}, "yes"}, {retry.Moved{}, "resume"}, {forwarded, "abort interrupted"}}, 1},
		{"moved as it is cancelled", resume, 2, []step{{overdue{}, "yes"}, {move{}, "yes"}, {retry.ResolveTimeout(retry.Moved{}), "resume"}}, 1},
		{"not moved without budget", resume, 0, []step{{move{}, "no"}, {retry.Answered{}, "deliver"}}, 0},
		{"not moved if not resumable", repeat, 9, []step{{move{}, "no"}, {retry.Answered{}, "deliver"}}, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			b := &countingBudget{fakeBudget: fakeBudget{left: tc.budget}}
			m := retry.NewMachine(rules(tc.kind), b)
			m.Start(begin)
			for i, s := range tc.steps {
				if got := apply(m, begin, s.call); got != s.want {
					t.Errorf("step %d, %T: %s, want %s", i, s.call, got, s.want)
				}
			}
			if b.charged != tc.charged {
				t.Errorf("%d retries charged, want %d", b.charged, tc.charged)
			}
		})
	}
}

// TestOverdueAttemptGoesOnAfterDeadline guards against a charge for a retry that the deadline forbids.
func TestOverdueAttemptGoesOnAfterDeadline(t *testing.T) {
	b := &countingBudget{fakeBudget: fakeBudget{left: 9}}
	m := retry.NewMachine(rules(resume), b)
	m.Start(begin)
	if late := begin.Add(8 * time.Second); m.ReplaceOverdue(late) || m.Move(late) || b.charged > 0 {
		t.Errorf("replaced after the deadline, %d retries charged", b.charged)
	}
}

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
		b := &countingBudget{fakeBudget: fakeBudget{left: rapid.IntRange(0, 5).Draw(rt, "retries")}}
		m := retry.NewMachine(r, b)
		cmd := m.Start(begin)
		retries := 0 // attempts after one that reached a target
		for range 12 {
			if _, open := cmd.(retry.Try); !open {
				break
			}
			outcome := drawOutcome(rt, m)
			before := b.charged - retries
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
			if after := b.charged - retries; after < 0 || after > before || after > 1 {
				rt.Fatalf("%d retries, %d charged; %d unused charges before", retries, b.charged, before)
			}
		}
	})
}
