package retry_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/core/fault"
	"clovertrail.dev/retry"
)

// fakeBudget allows a fixed number of retries.
type fakeBudget struct{ left int }

func (*fakeBudget) AddRequest(time.Time) {}

func (b *fakeBudget) SpendRetry(time.Time) bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

var (
	errLost  = errors.New("connection reset")
	declined = retry.Declined{Err: fault.New(fault.Overloaded, "busy")}
)

const (
	once   = iota // a request that may run only once
	repeat        // a request that may run more than once
	resume        // a stream that may be resumed
)

func rules(kind int) retry.Rules {
	return retry.Rules{
		Repeat: kind != once, Resume: kind == resume, MaxAttempts: 2,
		Deadline: begin.Add(8 * time.Second), FirstByteTimeout: time.Second,
	}
}

var begin = time.Unix(1_800_000_000, 0)

// overdue and move stand among the outcomes of a test for a call of ReplaceOverdue or Move.
type (
	overdue struct{ retry.Outcome }
	move    struct{ retry.Outcome }
)

// apply passes the outcome to the machine and returns the result as text.
func apply(m *retry.Machine, o retry.Outcome) string {
	switch o.(type) {
	case overdue:
		return fmt.Sprint(m.ReplaceOverdue(begin))
	case move:
		return fmt.Sprint(m.Move(begin))
	default:
		return summary(m.Ended(begin, o))
	}
}

// summary describes a command in a few words.
func summary(c retry.Command) string {
	switch c := c.(type) {
	case retry.Try:
		if c.Resume {
			return "resume"
		}
		return "try"
	case retry.Deliver:
		return "deliver"
	case retry.Refuse:
		return "refuse " + string(c.Err.Kind())
	case retry.Abort:
		return "abort " + string(c.Err.Kind())
	default:
		return fmt.Sprintf("%T", c)
	}
}

// TestMachineCommands guards, besides all else, against attempts that are cancelled although no other may
// follow, so that the caller is refused where its target would have served it.
func TestMachineCommands(t *testing.T) {
	timedOut, lost := retry.FirstByteTimedOut{}, retry.Lost{Err: errLost}
	forwarded := retry.Broken{Err: errLost, Forwarded: true}
	notForwarded := retry.Broken{Err: errLost}
	tests := []struct {
		name     string
		kind     int
		retries  int // in the budget
		outcomes []retry.Outcome
		want     []string // the command after each outcome
	}{
		{"answered", once, 0, []retry.Outcome{retry.Answered{}}, []string{"deliver"}},
		{"lost, once only", once, 9, []retry.Outcome{retry.Lost{Err: errLost}}, []string{"refuse fate_unknown"}},
		{"declined, once only", once, 9, []retry.Outcome{declined, declined}, []string{"try", "refuse overloaded"}},
		{"declined, then lost, once only", once, 9, []retry.Outcome{declined, retry.Lost{Err: errLost}}, []string{"try", "refuse fate_unknown"}},
		{"broken, once only", once, 9, []retry.Outcome{notForwarded}, []string{"refuse interrupted"}},
		{"broken after forwarding, once only", once, 9, []retry.Outcome{forwarded}, []string{"abort interrupted"}},
		{"failed, once only", once, 9, []retry.Outcome{retry.Failed{Status: 500}}, []string{"deliver"}},
		{"not sent three times", once, 0, []retry.Outcome{retry.NotSent{Err: errLost}, retry.NotSent{Err: errLost}, retry.NotSent{Err: errLost}},
			[]string{"try", "try", "refuse not_sent"}},
		{"lost and repeated", repeat, 1, []retry.Outcome{retry.Lost{Err: errLost}, retry.Answered{}}, []string{"try", "deliver"}},
		{"lost without budget", repeat, 0, []retry.Outcome{retry.Lost{Err: errLost}}, []string{"refuse fate_unknown"}},
		{"lost, then declined", repeat, 9, []retry.Outcome{retry.Lost{Err: errLost}, declined}, []string{"try", "refuse fate_unknown"}},
		{"moved, with an exhausted budget", resume, 0, []retry.Outcome{retry.Moved{}, retry.Answered{}}, []string{"resume", "deliver"}},
		{"moved, then broken", resume, 9, []retry.Outcome{retry.Moved{}, retry.Broken{Err: errLost, Forwarded: true}}, []string{"resume", "abort interrupted"}},
		{"timed out and repeated", repeat, 1, []retry.Outcome{retry.FirstByteTimedOut{}, retry.Answered{}}, []string{"try", "deliver"}},
		{"failed and repeated", repeat, 1, []retry.Outcome{retry.Failed{Status: 500}, retry.Failed{Status: 500}}, []string{"try", "deliver"}},
		{"failed, and its answer forwarded", repeat, 9, []retry.Outcome{retry.Failed{Status: 500, Forwarded: true}}, []string{"deliver"}},
		{"failed without budget", repeat, 0, []retry.Outcome{retry.Failed{Status: 500}}, []string{"deliver"}},
		{"broken before forwarding", resume, 1, []retry.Outcome{notForwarded, retry.Answered{}}, []string{"try", "deliver"}},
		{"broken and resumed", resume, 1, []retry.Outcome{forwarded, retry.Answered{}}, []string{"resume", "deliver"}},
		{"broken, not resumable", repeat, 9, []retry.Outcome{forwarded}, []string{"abort interrupted"}},
		{"broken where no target can continue", resume, 9, []retry.Outcome{retry.Broken{Err: errLost, Forwarded: true, Unresumable: true}}, []string{"abort interrupted"}},
		{"broken as it is cancelled, where no target can continue", resume, 1, []retry.Outcome{overdue{}, retry.ResolveTimeout(retry.Broken{Err: errLost, Forwarded: true, Unresumable: true})}, []string{"true", "abort interrupted"}},
		{"broken twice", resume, 9, []retry.Outcome{forwarded, forwarded}, []string{"resume", "abort interrupted"}},
		{"resumed at a target that declines", resume, 9, []retry.Outcome{forwarded, declined}, []string{"resume", "abort overloaded"}},
		{"resumed at a target that fails", resume, 9, []retry.Outcome{forwarded, retry.Failed{Status: 500}}, []string{"resume", "abort target_failed"}},
		{"resumed at an unreachable target", resume, 9, []retry.Outcome{forwarded, retry.NotSent{Err: errLost}}, []string{"resume", "resume"}},
		{"expired during the first attempt", once, 0, []retry.Outcome{retry.Expired{}}, []string{"refuse timed_out"}},
		{"expired after forwarding", resume, 9, []retry.Outcome{forwarded, retry.Expired{}}, []string{"resume", "abort timed_out"}},
		{"overdue", repeat, 1, []retry.Outcome{overdue{}, timedOut, retry.Answered{}}, []string{"true", "try", "deliver"}},
		{"overdue, cancelled, then declined", repeat, 1, []retry.Outcome{overdue{}, timedOut, declined}, []string{"true", "try", "refuse fate_unknown"}},
		{"overdue without budget, answered late", repeat, 0, []retry.Outcome{overdue{}, retry.Answered{}}, []string{"false", "deliver"}},
		{"overdue without budget, declined late", repeat, 0, []retry.Outcome{overdue{}, declined}, []string{"false", "refuse overloaded"}},
		{"overdue without budget, lost", repeat, 0, []retry.Outcome{overdue{}, lost}, []string{"false", "refuse fate_unknown"}},
		{"overdue without budget, never answered", repeat, 0, []retry.Outcome{overdue{}, retry.Expired{}}, []string{"false", "refuse timed_out"}},
		{"overdue, once only", once, 9, []retry.Outcome{overdue{}, retry.Answered{}}, []string{"false", "deliver"}},
		{"overdue in the last attempt", repeat, 9, []retry.Outcome{lost, overdue{}, retry.Answered{}}, []string{"try", "false", "deliver"}},
		{"declined as it is cancelled", repeat, 1, []retry.Outcome{overdue{}, retry.ResolveTimeout(declined), declined}, []string{"true", "try", "refuse overloaded"}},
		{"answered as it is cancelled", repeat, 1, []retry.Outcome{overdue{}, retry.ResolveTimeout(retry.Answered{})}, []string{"true", "deliver"}},
		{"cancelled before it was sent", repeat, 1, []retry.Outcome{overdue{}, retry.ResolveTimeout(retry.NotSent{Err: errLost}), overdue{}, timedOut}, []string{"true", "try", "true", "try"}},
		{"events forwarded as it is cancelled", resume, 1, []retry.Outcome{overdue{}, retry.ResolveTimeout(forwarded)}, []string{"true", "resume"}},
		{"moved", resume, 1, []retry.Outcome{move{}, retry.Moved{}, forwarded}, []string{"true", "resume", "abort interrupted"}},
		{"moved as it is cancelled", resume, 1, []retry.Outcome{overdue{}, move{}, retry.ResolveTimeout(retry.Moved{})}, []string{"true", "true", "resume"}},
		{"not moved without budget", resume, 0, []retry.Outcome{move{}, retry.Answered{}}, []string{"false", "deliver"}},
		{"not moved if not resumable", repeat, 9, []retry.Outcome{move{}, retry.Answered{}}, []string{"false", "deliver"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			m := retry.NewMachine(rules(tc.kind), &fakeBudget{left: tc.retries})
			if got := summary(m.Start(begin)); got != "try" {
				t.Fatalf("first command is %s, want try", got)
			}
			for i, o := range tc.outcomes {
				if got := apply(m, o); got != tc.want[i] {
					t.Errorf("after %T: %s, want %s", o, got, tc.want[i])
				}
			}
		})
	}
}

func TestNoAttemptAfterDeadline(t *testing.T) {
	m := retry.NewMachine(rules(repeat), &fakeBudget{left: 9})
	if got := summary(m.Start(begin.Add(9 * time.Second))); got != "refuse deadline_unmeetable" {
		t.Errorf("got %s", got)
	}
	m = retry.NewMachine(rules(repeat), &fakeBudget{left: 9})
	m.Start(begin)
	if got := summary(m.Ended(begin.Add(9*time.Second), retry.Lost{Err: errLost})); got != "refuse fate_unknown" {
		t.Errorf("got %s", got)
	}
	m = retry.NewMachine(rules(resume), &fakeBudget{left: 9})
	m.Start(begin)
	if late := begin.Add(8 * time.Second); m.ReplaceOverdue(late) || m.Move(late) {
		t.Error("an attempt was replaced after the deadline")
	}
}

func TestFirstByteDeadlineOnlyIfRetryIsPossible(t *testing.T) {
	tests := []struct {
		name  string
		kind  int
		first bool // whether the first attempt is checked; otherwise the second
		want  bool
	}{
		{"first of two", repeat, true, true},
		{"last of two", repeat, false, false},
		{"once only", once, true, false},
	}
	for _, tc := range tests {
		m := retry.NewMachine(rules(tc.kind), &fakeBudget{left: 9})
		cmd := m.Start(begin)
		if !tc.first {
			cmd = m.Ended(begin, retry.Lost{Err: errLost})
		}
		if at := cmd.(retry.Try).FirstByteDeadline; at.IsZero() == tc.want {
			t.Errorf("%s: first byte deadline is %v, want one: %v", tc.name, at, tc.want)
		}
	}
}

// TestAttemptThatWaitedHasItsTime guards against cancelling an attempt for the time that its request waited for a
// target.
func TestAttemptThatWaitedHasItsTime(t *testing.T) {
	m := retry.NewMachine(rules(repeat), &fakeBudget{left: 9})
	first := m.Start(begin).(retry.Try)
	waited := begin.Add(1500 * time.Millisecond)
	if got := m.Delayed(waited, first).FirstByteDeadline; !got.Equal(waited.Add(time.Second)) {
		t.Errorf("first byte deadline %v after the beginning, want 2.5s", got.Sub(begin))
	}
	last := m.Ended(waited, declined).(retry.Try)
	if got := m.Delayed(waited, last).FirstByteDeadline; !got.IsZero() {
		t.Errorf("the last attempt has a first byte deadline %v after the beginning, want none", got.Sub(begin))
	}
}

// TestNoTargetAfterDeclinedAttempts guards against a refusal that hides why no further target was found, and
// against one that states "not run" after an attempt that may have run.
func TestNoTargetAfterDeclinedAttempts(t *testing.T) {
	queued := fault.New(fault.NoTarget, "queued for 1s")
	for _, tc := range []struct {
		name    string
		outcome retry.Outcome
		want    string
		notRun  bool
	}{
		{"declined", declined, "refuse overloaded", true},
		{"lost", retry.Lost{Err: errLost}, "refuse fate_unknown", false},
		{"broken off", retry.Broken{Err: errLost, Forwarded: true}, "abort interrupted", false},
	} {
		m := retry.NewMachine(rules(resume), &fakeBudget{left: 9})
		m.Start(begin)
		m.Ended(begin, tc.outcome)
		if got := m.NotRun(); got != tc.notRun {
			t.Errorf("%s: not run: %v, want %v", tc.name, got, tc.notRun)
		}
		cmd := m.NoTarget(begin, queued)
		if got := summary(cmd); got != tc.want {
			t.Errorf("%s: %s, want %s", tc.name, got, tc.want)
		}
		if f, ok := cmd.(retry.Refuse); ok && (!strings.Contains(f.Err.Error(), "queued for 1s") || f.Err.Kind() == fault.Overloaded && !strings.Contains(f.Err.Error(), "busy")) {
			t.Errorf("%s: error %q lacks the last outcome or the wait", tc.name, f.Err)
		}
	}
}

func TestRefusalKeepsRetryAfterOfTarget(t *testing.T) {
	at := begin.Add(3 * time.Second)
	m := retry.NewMachine(rules(once), &fakeBudget{})
	m.Start(begin)
	cmd := m.Ended(begin, retry.Declined{Err: fault.New(fault.Overloaded, "busy").RetryAt(at)})
	if got := cmd.(retry.Refuse).Err.RetryTime(); !got.Equal(at) {
		t.Errorf("retry at %v, want %v", got, at)
	}
}

// TestRefusalOfRequestNotRunStatesRetryAfter: this includes requests for which no target could be
// reached, so that no target stated when to retry.
func TestRefusalOfRequestNotRunStatesRetryAfter(t *testing.T) {
	notSent := retry.NotSent{Err: errLost}
	for name, outcomes := range map[string][]retry.Outcome{
		"no target could be reached": {notSent, notSent, notSent},
		"a target declined":          {declined, declined},
		"the deadline passed":        {retry.Expired{}},
	} {
		m := retry.NewMachine(rules(once), &fakeBudget{left: 9})
		cmd := m.Start(begin)
		for _, o := range outcomes {
			cmd = m.Ended(begin, o)
		}
		f, refused := cmd.(retry.Refuse)
		if !refused || f.Err.Kind().Response().Ran() == fault.RanNo && !f.Err.RetryTime().After(begin) {
			t.Errorf("%s: %s, retry at %v", name, summary(cmd), f.Err.RetryTime())
		}
	}
}

// TestNotRunIsReportedOnlyWithProof draws random outcomes and checks that a request is refused as
// "not run" only if no attempt can have run; that a request that may run once has at most one attempt
// that can have run; and that no more attempts reach a target than are allowed.
func TestNotRunIsReportedOnlyWithProof(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.IntRange(once, resume).Draw(rt, "kind")
		r := rules(kind)
		r.MaxAttempts = rapid.IntRange(1, 4).Draw(rt, "attempts")
		m := retry.NewMachine(r, &fakeBudget{left: rapid.IntRange(0, 5).Draw(rt, "retries")})
		now := begin
		cmd := m.Start(now)
		mayHaveRun, reached := 0, 0
		for range 12 {
			if _, ok := cmd.(retry.Try); !ok {
				break
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			outcomes := []retry.Outcome{
				retry.Answered{}, retry.NotSent{Err: errLost}, declined, retry.Failed{Status: 500},
				retry.Lost{Err: errLost}, retry.FirstByteTimedOut{}, retry.Broken{Err: errLost}, retry.Broken{Err: errLost, Forwarded: true}, retry.Expired{},
			}
			o := rapid.SampledFrom(outcomes).Draw(rt, "outcome")
			switch o.(type) {
			case retry.NotSent:
			case retry.Declined:
				reached++
			default:
				reached++
				mayHaveRun++
			}
			cmd = m.Ended(now, o)
		}
		if _, open := cmd.(retry.Try); open {
			rt.Fatal("the machine still asks for an attempt after twelve attempts")
		}
		if f, ok := cmd.(retry.Refuse); ok && f.Err.Kind().Response().Ran() == fault.RanNo && mayHaveRun > 0 {
			rt.Fatalf("refused as %s after %d attempts that may have run", f.Err.Kind(), mayHaveRun)
		}
		if kind == once && mayHaveRun > 1 {
			rt.Fatalf("%d attempts may have run, but the request may run only once", mayHaveRun)
		}
		if reached > r.MaxAttempts {
			rt.Fatalf("%d attempts reached a target, want at most %d", reached, r.MaxAttempts)
		}
	})
}

// TestResolveTimeoutKeepsForwardedAnswer: an answer may begin just as the attempt times out. If a part
// of it went to the caller, the request must not be sent again from its beginning, nor be refused as
// if no answer had begun.
func TestResolveTimeoutKeepsForwardedAnswer(t *testing.T) {
	for name, tc := range map[string]struct {
		outcome retry.Outcome
		want    string // next command for a request that may repeat and resume
	}{
		"no answer":             {retry.Lost{Err: errLost}, "try"},
		"response header only":  {retry.Broken{Err: errLost}, "try"},
		"events were forwarded": {retry.Broken{Err: errLost, Forwarded: true}, "resume"},
		"whole answer":          {retry.Answered{}, "deliver"},
	} {
		m := retry.NewMachine(rules(resume), &fakeBudget{left: 1})
		m.Start(begin)
		if got := summary(m.Ended(begin.Add(time.Second), retry.ResolveTimeout(tc.outcome))); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
	m := retry.NewMachine(rules(repeat), &fakeBudget{left: 1})
	m.Start(begin)
	got := summary(m.Ended(begin.Add(time.Second), retry.ResolveTimeout(retry.Broken{Err: errLost, Forwarded: true})))
	if !strings.HasPrefix(got, "abort") {
		t.Errorf("an answer that cannot be resumed: %s, want abort", got)
	}
}

// TestBarredReportsWhatMayHaveRun: before any attempt the request did not run; after an attempt that may
// have run its fate is unknown; and an answer of which the caller has a part is broken off.
func TestBarredReportsWhatMayHaveRun(t *testing.T) {
	for name, tc := range map[string]struct {
		outcomes []retry.Outcome
		want     string
	}{
		"before any attempt":                 {nil, "refuse quarantined"},
		"after a declined attempt":           {[]retry.Outcome{declined}, "refuse quarantined"},
		"after a lost attempt":               {[]retry.Outcome{retry.Lost{Err: errLost}}, "refuse fate_unknown"},
		"after forwarding a part":            {[]retry.Outcome{retry.Broken{Err: errLost, Forwarded: true}}, "abort quarantined"},
		"after an attempt that was not sent": {[]retry.Outcome{retry.NotSent{Err: errLost}}, "refuse quarantined"},
		"after a broken attempt":             {[]retry.Outcome{retry.Broken{Err: errLost}}, "refuse fate_unknown"},
	} {
		m := retry.NewMachine(rules(resume), &fakeBudget{left: 9})
		m.Start(begin)
		for _, o := range tc.outcomes {
			m.Ended(begin, o)
		}
		if got := summary(m.Barred(begin, fault.New(fault.Quarantined, "targets ended"))); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}
