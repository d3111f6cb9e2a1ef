package retry

import (
	"time"

	"clovertrail.dev/core/fault"
)

// Rules are what a route allows for one request.
type Rules struct {
	// Repeat reports that the request may run more than once from its beginning.
	Repeat bool
	// Resume reports that a broken stream may be taken up by another target.
	Resume bool
	// MaxAttempts is how many targets the request may be sent to.
	MaxAttempts int
	// Deadline is when the caller must have its final answer.
	Deadline time.Time
	// FirstByteTimeout is how long an attempt may stay without a beginning of its answer
	// before another is tried in its place; 0 is until the deadline.
	FirstByteTimeout time.Duration
}

// reach is how often a request looks for another target after one that it could
// not reach at all. Such tries cost a target nothing.
const reach = 3

// unsaid is after how long a caller comes back where neither a target nor the box states when,
// as where three targets in a row could not be reached: a few requests of a usual target, by
// when the box takes them for unreachable and uses others.
const unsaid = 250 * time.Millisecond

// Machine is the machine of one request over its attempts. It decides whether there
// is another attempt and what the caller may be answered when there is none. It says
// "not run" only if every attempt is proved not to have run.
type Machine struct {
	rules    Rules
	purse    Budget
	sent     int // attempts that reached a target
	missed   int // attempts that did not
	ran      bool
	passed   bool
	again    time.Time // when a target that declined asked to come back
	reasons  []fault.Kind
	lastFail *fault.Error
}

// NewMachine returns the machine of a request that arrived now.
func NewMachine(r Rules, p Budget) *Machine { return &Machine{rules: r, purse: p} }

// Reasons are why further attempts were made, oldest first.
func (c *Machine) Reasons() []fault.Kind { return c.reasons }

// Attempts is how many attempts reached a target.
func (c *Machine) Attempts() int { return c.sent }

// Start gives the first command.
func (c *Machine) Start(now time.Time) Command {
	c.purse.AddRequest(now)
	return c.try(now, false)
}

// NoTarget takes that there was no target to send to.
func (c *Machine) NoTarget(now time.Time, err *fault.Error) Command {
	if c.lastFail != nil {
		err = c.lastFail
	}
	return c.giveUp(now, err)
}

// Barred takes that the request must not be sent to any target now. What may have run
// already stays so.
func (c *Machine) Barred(now time.Time, err *fault.Error) Command { return c.giveUp(now, err) }

// Ended takes the end of the current attempt.
func (c *Machine) Ended(now time.Time, e Outcome) Command {
	if _, missed := e.(NotSent); !missed {
		c.sent++
	}
	switch e := e.(type) {
	case Answered:
		return Deliver{}
	case NotSent:
		return c.unreached(now, e)
	case Declined:
		return c.another(now, e.Err, c.passed)
	case Failed:
		return c.failed(now)
	case Lost:
		return c.lost(now, fault.New(fault.FateUnknown, "%v", e.Err))
	case FirstByteTimedOut:
		return c.lost(now, fault.New(fault.FateUnknown, "the answer did not begin in time"))
	case Broken:
		return c.broken(now, e)
	case Moved:
		return c.moved(now)
	case Expired:
		return c.expired(now)
	default:
		return c.giveUp(now, fault.New(fault.Internal, "unknown end %T", e))
	}
}

func (c *Machine) try(now time.Time, resume bool) Command {
	if !now.Before(c.rules.Deadline) {
		return c.expired(now)
	}
	t := Try{Attempt: c.sent + c.missed + 1, Resume: resume}
	replaceable := c.rules.Repeat && c.sent+1 < c.rules.MaxAttempts
	if c.rules.FirstByteTimeout > 0 && replaceable {
		t.FirstByteDeadline = now.Add(c.rules.FirstByteTimeout)
	}
	t.Movable = replaceable && c.rules.Resume
	return t
}

func (c *Machine) unreached(now time.Time, e NotSent) Command {
	c.missed++
	err := fault.New(fault.NotSent, "%v", e.Err)
	if c.missed >= reach {
		return c.giveUp(now, err)
	}
	c.reasons = append(c.reasons, fault.NotSent)
	return c.try(now, c.passed)
}

// failed repeats a request that may run again; else the target's answer stands,
// unless the caller already has the beginning of another.
func (c *Machine) failed(now time.Time) Command {
	c.ran = true
	if c.passed {
		return c.another(now, fault.New(fault.TargetFailed, "the target that was to go on failed"), true)
	}
	if c.rules.Repeat && c.affords(now) {
		c.reasons = append(c.reasons, fault.TargetFailed)
		return c.try(now, false)
	}
	return Deliver{}
}

func (c *Machine) lost(now time.Time, err *fault.Error) Command {
	c.ran = true
	if !c.rules.Repeat {
		return c.giveUp(now, err)
	}
	return c.another(now, err, c.passed)
}

func (c *Machine) broken(now time.Time, e Broken) Command {
	c.ran = true
	c.passed = c.passed || e.Forwarded
	err := fault.New(fault.Interrupted, "%v", e.Err)
	if c.passed && !c.rules.Resume || !c.rules.Repeat {
		return c.giveUp(now, err)
	}
	return c.another(now, err, c.passed)
}

// moved goes on at another target.
func (c *Machine) moved(now time.Time) Command {
	c.ran, c.passed = true, true
	c.lastFail = fault.New(fault.Interrupted, "the answer was to go on at another target")
	c.reasons = append(c.reasons, fault.Interrupted)
	return c.try(now, true)
}

// another sends one more attempt if the route and the budget allow it.
func (c *Machine) another(now time.Time, cause *fault.Error, resume bool) Command {
	if cause.When().After(c.again) {
		c.again = cause.When()
	}
	if !c.affords(now) {
		return c.giveUp(now, cause)
	}
	c.lastFail = cause
	c.reasons = append(c.reasons, cause.Kind())
	return c.try(now, resume)
}

func (c *Machine) affords(now time.Time) bool {
	return c.sent < c.rules.MaxAttempts && now.Before(c.rules.Deadline) && c.purse.SpendRetry(now)
}

func (c *Machine) expired(now time.Time) Command {
	if c.sent == 0 {
		return c.giveUp(now, fault.New(fault.DeadlineUnmeetable, "no target took the request before its deadline"))
	}
	return c.giveUp(now, fault.New(fault.TimedOut, "no answer within the time that the route allows"))
}

// giveUp ends the request. After an attempt that may have run, no kind that claims
// "not run" is given.
func (c *Machine) giveUp(now time.Time, err *fault.Error) Command {
	if c.passed {
		return Abort{Err: err}
	}
	if c.ran && err.Kind().Answer().Ran() == fault.RanNo {
		err = fault.New(fault.FateUnknown, "an earlier attempt may have run; then %v", err)
	}
	if err.When().IsZero() {
		err = err.RetryAt(c.again)
	}
	if err.When().IsZero() && err.Kind().Answer().Ran() == fault.RanNo {
		err = err.RetryAt(now.Add(unsaid))
	}
	return Refuse{Err: err}
}
