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

// coins is a purse with so many retries.
type coins struct{ left int }

func (*coins) AddRequest(time.Time) {}

func (c *coins) SpendRetry(time.Time) bool {
	if c.left == 0 {
		return false
	}
	c.left--
	return true
}

var (
	errLost  = errors.New("connection reset")
	declined = retry.Declined{Err: fault.New(fault.Overloaded, "busy")}
)

const (
	once   = iota // a request that may run only once
	repeat        // one that may run more than once
	resume        // a stream that may be resumed
)

func rules(kind int) retry.Rules {
	return retry.Rules{
		Repeat: kind != once, Resume: kind == resume, MaxAttempts: 2,
		Deadline: begin.Add(8 * time.Second), FirstByteTimeout: time.Second,
	}
}

var begin = time.Unix(1_800_000_000, 0)

// words puts a command into a few words.
func words(c retry.Command) string {
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

func TestCourses(t *testing.T) {
	passed := retry.Broken{Err: errLost, Forwarded: true}
	unpassed := retry.Broken{Err: errLost}
	tests := []struct {
		name  string
		kind  int
		coins int
		ends  []retry.Outcome
		want  []string // the command after each end
	}{
		{"answered", once, 0, []retry.Outcome{retry.Answered{}}, []string{"deliver"}},
		{"lost, once only", once, 9, []retry.Outcome{retry.Lost{Err: errLost}}, []string{"refuse fate_unknown"}},
		{"declined, once only", once, 9, []retry.Outcome{declined, declined}, []string{"try", "refuse overloaded"}},
		{"declined, then lost, once only", once, 9, []retry.Outcome{declined, retry.Lost{Err: errLost}}, []string{"try", "refuse fate_unknown"}},
		{"broken, once only", once, 9, []retry.Outcome{unpassed}, []string{"refuse interrupted"}},
		{"broken and passed, once only", once, 9, []retry.Outcome{passed}, []string{"abort interrupted"}},
		{"failed, once only", once, 9, []retry.Outcome{retry.Failed{Status: 500}}, []string{"deliver"}},
		{"never reached", once, 0, []retry.Outcome{retry.NotSent{Err: errLost}, retry.NotSent{Err: errLost}, retry.NotSent{Err: errLost}},
			[]string{"try", "try", "refuse not_sent"}},
		{"lost and repeated", repeat, 1, []retry.Outcome{retry.Lost{Err: errLost}, retry.Answered{}}, []string{"try", "deliver"}},
		{"lost without budget", repeat, 0, []retry.Outcome{retry.Lost{Err: errLost}}, []string{"refuse fate_unknown"}},
		{"lost, then declined", repeat, 9, []retry.Outcome{retry.Lost{Err: errLost}, declined}, []string{"try", "refuse fate_unknown"}},
		{"moved and paid for", resume, 0, []retry.Outcome{retry.Moved{}, retry.Answered{}}, []string{"resume", "deliver"}},
		{"moved and cut again", resume, 9, []retry.Outcome{retry.Moved{}, retry.Broken{Err: errLost, Forwarded: true}}, []string{"resume", "abort interrupted"}},
		{"silent and repeated", repeat, 1, []retry.Outcome{retry.FirstByteTimedOut{}, retry.Answered{}}, []string{"try", "deliver"}},
		{"failed and repeated", repeat, 1, []retry.Outcome{retry.Failed{Status: 500}, retry.Failed{Status: 500}}, []string{"try", "deliver"}},
		{"failed without budget", repeat, 0, []retry.Outcome{retry.Failed{Status: 500}}, []string{"deliver"}},
		{"broken before anything passed", resume, 1, []retry.Outcome{unpassed, retry.Answered{}}, []string{"try", "deliver"}},
		{"broken and resumed", resume, 1, []retry.Outcome{passed, retry.Answered{}}, []string{"resume", "deliver"}},
		{"broken, not to be resumed", repeat, 9, []retry.Outcome{passed}, []string{"abort interrupted"}},
		{"broken twice", resume, 9, []retry.Outcome{passed, passed}, []string{"resume", "abort interrupted"}},
		{"resumed at a target that declines", resume, 9, []retry.Outcome{passed, declined}, []string{"resume", "abort overloaded"}},
		{"resumed at a target that fails", resume, 9, []retry.Outcome{passed, retry.Failed{Status: 500}}, []string{"resume", "abort target_failed"}},
		{"resumed at a target out of reach", resume, 9, []retry.Outcome{passed, retry.NotSent{Err: errLost}}, []string{"resume", "resume"}},
		{"expired on the way", once, 0, []retry.Outcome{retry.Expired{}}, []string{"refuse timed_out"}},
		{"expired after a part", resume, 9, []retry.Outcome{passed, retry.Expired{}}, []string{"resume", "abort timed_out"}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := retry.NewMachine(rules(tc.kind), &coins{left: tc.coins})
			if got := words(c.Start(begin)); got != "try" {
				t.Fatalf("starts with %s", got)
			}
			for i, e := range tc.ends {
				if got := words(c.Ended(begin, e)); got != tc.want[i] {
					t.Errorf("after %T: %s, want %s", e, got, tc.want[i])
				}
			}
		})
	}
}

func TestNothingIsTriedAfterTheDeadline(t *testing.T) {
	c := retry.NewMachine(rules(repeat), &coins{left: 9})
	if got := words(c.Start(begin.Add(9 * time.Second))); got != "refuse deadline_unmeetable" {
		t.Errorf("got %s", got)
	}
	c = retry.NewMachine(rules(repeat), &coins{left: 9})
	c.Start(begin)
	if got := words(c.Ended(begin.Add(9*time.Second), retry.Lost{Err: errLost})); got != "refuse fate_unknown" {
		t.Errorf("got %s", got)
	}
}

func TestPatienceIsOnlyForAttemptsThatAnotherCanReplace(t *testing.T) {
	tests := []struct {
		name  string
		kind  int
		first bool
		want  bool
	}{
		{"first of two", repeat, true, true},
		{"last of two", repeat, false, false},
		{"once only", once, true, false},
	}
	for _, tc := range tests {
		c := retry.NewMachine(rules(tc.kind), &coins{left: 9})
		cmd := c.Start(begin)
		if !tc.first {
			cmd = c.Ended(begin, retry.Lost{Err: errLost})
		}
		if p := cmd.(retry.Try).FirstByteDeadline; p.IsZero() == tc.want {
			t.Errorf("%s: patience until %v", tc.name, p)
		}
	}
}

func TestARefusalCarriesWhenToComeBack(t *testing.T) {
	at := begin.Add(3 * time.Second)
	c := retry.NewMachine(rules(once), &coins{})
	c.Start(begin)
	cmd := c.Ended(begin, retry.Declined{Err: fault.New(fault.Overloaded, "busy").RetryAt(at)})
	if got := cmd.(retry.Refuse).Err.When(); !got.Equal(at) {
		t.Errorf("come back at %v, want %v", got, at)
	}
}

// TestWhoIsTurnedAwayIsToldWhenToComeBack: whatever nobody ran, also where no target could be
// reached, none of which states when.
func TestWhoIsTurnedAwayIsToldWhenToComeBack(t *testing.T) {
	unreached := retry.NotSent{Err: errLost}
	for name, ends := range map[string][]retry.Outcome{
		"no target could be reached": {unreached, unreached, unreached},
		"a target declined":          {declined, declined},
		"the time is over":           {retry.Expired{}},
	} {
		c := retry.NewMachine(rules(once), &coins{left: 9})
		cmd := c.Start(begin)
		for _, e := range ends {
			cmd = c.Ended(begin, e)
		}
		f, refused := cmd.(retry.Refuse)
		if !refused || f.Err.Kind().Answer().Ran() == fault.RanNo && !f.Err.When().After(begin) {
			t.Errorf("%s: %s, to come back at %v", name, words(cmd), f.Err.When())
		}
	}
}

// TestNotRunIsOnlySaidWithProof draws any ends: a refusal that claims "not run" comes
// only if no attempt can have run; a request that may run once has at most one
// attempt that can have run; and no more attempts reach a target than are allowed.
func TestNotRunIsOnlySaidWithProof(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.IntRange(once, resume).Draw(rt, "kind")
		r := rules(kind)
		r.MaxAttempts = rapid.IntRange(1, 4).Draw(rt, "attempts")
		c := retry.NewMachine(r, &coins{left: rapid.IntRange(0, 5).Draw(rt, "coins")})
		now := begin
		cmd := c.Start(now)
		mayHaveRun, reached := 0, 0
		for range 12 {
			if _, ok := cmd.(retry.Try); !ok {
				break
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
			ends := []retry.Outcome{
				retry.Answered{}, retry.NotSent{Err: errLost}, declined, retry.Failed{Status: 500},
				retry.Lost{Err: errLost}, retry.FirstByteTimedOut{}, retry.Broken{Err: errLost}, retry.Broken{Err: errLost, Forwarded: true}, retry.Expired{},
			}
			e := rapid.SampledFrom(ends).Draw(rt, "end")
			switch e.(type) {
			case retry.NotSent:
			case retry.Declined:
				reached++
			default:
				reached++
				mayHaveRun++
			}
			cmd = c.Ended(now, e)
		}
		if _, open := cmd.(retry.Try); open {
			rt.Fatal("no end after twelve attempts")
		}
		if f, ok := cmd.(retry.Refuse); ok && f.Err.Kind().Answer().Ran() == fault.RanNo && mayHaveRun > 0 {
			rt.Fatalf("refused as %s after %d attempts that may have run", f.Err.Kind(), mayHaveRun)
		}
		if kind == once && mayHaveRun > 1 {
			rt.Fatalf("%d attempts may have run of a request that may run once", mayHaveRun)
		}
		if reached > r.MaxAttempts {
			rt.Fatalf("%d attempts reached a target, %d are allowed", reached, r.MaxAttempts)
		}
	})
}

// TestWhatWasCutShortIsNotForgotten: an answer that begins in the moment in which the
// patience with it ends. If part of it went to the caller, the request must not be
// sent again from its beginning, nor end as if nothing had been said.
func TestWhatWasCutShortIsNotForgotten(t *testing.T) {
	for name, tc := range map[string]struct {
		end  retry.Outcome
		want string // what follows for a request that may repeat and resume
	}{
		"nothing came":          {retry.Lost{Err: errLost}, "try"},
		"a head came":           {retry.Broken{Err: errLost}, "try"},
		"events were passed on": {retry.Broken{Err: errLost, Forwarded: true}, "resume"},
		"all of it came":        {retry.Answered{}, "deliver"},
	} {
		c := retry.NewMachine(rules(resume), &coins{left: 1})
		c.Start(begin)
		if got := words(c.Ended(begin.Add(time.Second), retry.ResolveTimeout(tc.end))); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
	c := retry.NewMachine(rules(repeat), &coins{left: 1})
	c.Start(begin)
	got := words(c.Ended(begin.Add(time.Second), retry.ResolveTimeout(retry.Broken{Err: errLost, Forwarded: true})))
	if !strings.HasPrefix(got, "abort") {
		t.Errorf("an answer that cannot be taken up: %s", got)
	}
}

// TestBarredWorkEndsAsItStands: before any attempt it did not run; after one that may have run
// nobody reports it; and what the caller has a part of is broken off.
func TestBarredWorkEndsAsItStands(t *testing.T) {
	for name, tc := range map[string]struct {
		ends []retry.Outcome
		want string
	}{
		"before any attempt":   {nil, "refuse quarantined"},
		"after one declined":   {[]retry.Outcome{declined}, "refuse quarantined"},
		"after one was lost":   {[]retry.Outcome{retry.Lost{Err: errLost}}, "refuse fate_unknown"},
		"after a part of it":   {[]retry.Outcome{retry.Broken{Err: errLost, Forwarded: true}}, "abort quarantined"},
		"after one unreached":  {[]retry.Outcome{retry.NotSent{Err: errLost}}, "refuse quarantined"},
		"after one that broke": {[]retry.Outcome{retry.Broken{Err: errLost}}, "refuse fate_unknown"},
	} {
		c := retry.NewMachine(rules(resume), &coins{left: 9})
		c.Start(begin)
		for _, e := range tc.ends {
			c.Ended(begin, e)
		}
		if got := words(c.Barred(begin, fault.New(fault.Quarantined, "targets ended"))); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}
