package retry

import (
	"time"

	"clovertrail.dev/core/fault"
)

// Rules are the limits that a route sets for one request.
type Rules struct {
	// Repeat reports that the request may run more than once from its beginning.
	Repeat bool
	// Resume reports that another target may continue a broken stream.
	Resume bool
	// MaxAttempts is the largest number of attempts that may reach a target.
	MaxAttempts int
	// Deadline is the time by which the caller must have the final answer.
	Deadline time.Time
	// FirstByteTimeout is the time within which the answer of an attempt must begin; after it the request
	// is sent to another target instead if the budget allows that. 0 means until the deadline.
	FirstByteTimeout time.Duration
}

// maxNotSent is the number of attempts that could not be sent after which the request is given up. These
// attempts cost a target nothing, so they count neither towards MaxAttempts nor in the budget.
const maxNotSent = 3

// defaultRetryAfter is the time after which a caller should retry if neither a target nor the box states
// one, for example because three targets in a row could not be reached. It is the duration of a few
// requests at a usual target. After it, the box treats these targets as unreachable and uses others.
const defaultRetryAfter = 250 * time.Millisecond

// Machine is the state machine of one request over all its attempts. It decides whether another
// attempt is made, and what the caller is answered if not. It reports "not run" only if every attempt
// is proven not to have run.
type Machine struct {
	rules      Rules
	budget     Budget
	sent       int          // attempts that reached a target
	notSent    int          // attempts that did not reach a target
	mayHaveRun bool         // an attempt may have run
	prepaid    bool         // the budget has been charged for the next retry
	forwarded  bool         // the caller has a part of the answer
	retryAt    time.Time    // latest time at which a target that declined asked to be tried again
	reasons    []fault.Kind // why further attempts were made
	lastErr    *fault.Error // reported if no target is left for the next attempt
}

// NewMachine returns the machine of a request that has just arrived.
func NewMachine(r Rules, b Budget) *Machine { return &Machine{rules: r, budget: b} }

// Reasons returns the reasons of all attempts after the first, oldest first.
func (m *Machine) Reasons() []fault.Kind { return m.reasons }

// Attempts returns the number of attempts that reached a target.
func (m *Machine) Attempts() int { return m.sent }

// NotRun reports whether no attempt may have run. A caller that is refused then can try again.
func (m *Machine) NotRun() bool { return !m.mayHaveRun && !m.forwarded }

// Start counts the request in the budget and returns the first command.
func (m *Machine) Start(now time.Time) Command {
	m.budget.AddRequest(now)
	return m.try(now, false)
}

// NoTarget records that there is no target to send the attempt to, and returns the next command.
// After earlier attempts the kind is that of the last one.
func (m *Machine) NoTarget(now time.Time, err *fault.Error) Command {
	if m.lastErr != nil {
		err = fault.New(m.lastErr.Kind(), "%v; then: %v", m.lastErr, err).RetryAt(m.lastErr.RetryTime())
	}
	return m.giveUp(now, err)
}

// Delayed returns the attempt as it is sent now, after it has waited for a target: the time for its first
// byte begins now.
func (m *Machine) Delayed(now time.Time, t Try) Try {
	if !t.FirstByteDeadline.IsZero() {
		t.FirstByteDeadline = now.Add(m.rules.FirstByteTimeout)
	}
	return t
}

// Barred records that the request must not be sent to any target now, and returns the next command.
// Earlier attempts may still have run.
func (m *Machine) Barred(now time.Time, err *fault.Error) Command { return m.giveUp(now, err) }

// Ended records the outcome of the current attempt and returns the next command.
func (m *Machine) Ended(now time.Time, o Outcome) Command {
	if _, notSent := o.(NotSent); !notSent {
		m.sent++
	}
	switch o := o.(type) {
	case Answered:
		return Deliver{}
	case NotSent:
		return m.attemptNotSent(now, o)
	case Declined:
		return m.retry(now, o.Err, m.forwarded)
	case Failed:
		return m.attemptFailed(now, o)
	case Lost:
		return m.attemptLost(now, fault.New(fault.FateUnknown, "%v", o.Err))
	case FirstByteTimedOut:
		return m.attemptLost(now, fault.New(fault.FateUnknown, "the answer did not begin in time"))
	case Broken:
		return m.attemptBroken(now, o)
	case Suspected:
		m.mayHaveRun = true
		return m.giveUp(now, fault.New(fault.Interrupted, "%v", o.Err))
	case Moved:
		return m.attemptMoved(now)
	case Expired:
		return m.expired(now)
	default:
		return m.giveUp(now, fault.New(fault.Internal, "unknown outcome %T of an attempt", o))
	}
}

// try returns the command for the next attempt, unless the deadline has passed.
func (m *Machine) try(now time.Time, resume bool) Command {
	if !now.Before(m.rules.Deadline) {
		return m.expired(now)
	}
	t := Try{Attempt: m.sent + m.notSent + 1, Resume: resume}
	if m.rules.FirstByteTimeout > 0 && m.replaceable() {
		t.FirstByteDeadline = now.Add(m.rules.FirstByteTimeout)
	}
	t.Movable = m.replaceable() && m.rules.Resume
	return t
}

// replaceable reports whether the route allows another attempt in place of the current one.
func (m *Machine) replaceable() bool { return m.rules.Repeat && m.sent+1 < m.rules.MaxAttempts }

// ReplaceOverdue reports whether the current attempt, whose answer has not begun by its
// FirstByteDeadline, is to be cancelled so that another attempt is made. It charges the budget for that
// attempt, so that the budget cannot refuse it after the cancellation. The owner asks only if there is
// another target. If the answer is no, the attempt goes on until the deadline of the request.
func (m *Machine) ReplaceOverdue(now time.Time) bool {
	return m.replaceable() && m.prepay(now)
}

// Move reports whether the stream that the current attempt sends is to be cut off so that another target
// continues it, and charges the budget for that attempt. The attempt then ends as Moved.
func (m *Machine) Move(now time.Time) bool {
	return m.replaceable() && m.rules.Resume && m.prepay(now)
}

// prepay charges the budget for the next retry unless that has been done. It returns false if the
// deadline has passed or the budget is exhausted. A charge for a retry that is not made is not
// refunded: the retry is rarely spared, and the bounds of the budget hold either way.
func (m *Machine) prepay(now time.Time) bool {
	if !now.Before(m.rules.Deadline) {
		return false
	}
	m.prepaid = m.prepaid || m.budget.SpendRetry(now)
	return m.prepaid
}

func (m *Machine) attemptNotSent(now time.Time, o NotSent) Command {
	m.notSent++
	err := fault.New(fault.NotSent, "%v", o.Err)
	if m.notSent >= maxNotSent {
		return m.giveUp(now, err)
	}
	m.reasons = append(m.reasons, fault.NotSent)
	return m.try(now, m.forwarded)
}

// attemptFailed repeats a request that may run again. Otherwise the target's answer is delivered,
// unless the caller already has the beginning of another answer.
func (m *Machine) attemptFailed(now time.Time, o Failed) Command {
	m.mayHaveRun = true
	if o.Forwarded {
		return Deliver{}
	}
	if m.forwarded {
		return m.retry(now, fault.New(fault.TargetFailed, "the target that was to continue the answer failed"), true)
	}
	if m.rules.Repeat && m.allowsRetry(now) {
		m.reasons = append(m.reasons, fault.TargetFailed)
		return m.try(now, false)
	}
	return Deliver{}
}

func (m *Machine) attemptLost(now time.Time, err *fault.Error) Command {
	m.mayHaveRun = true
	if !m.rules.Repeat {
		return m.giveUp(now, err)
	}
	return m.retry(now, err, m.forwarded)
}

func (m *Machine) attemptBroken(now time.Time, o Broken) Command {
	m.mayHaveRun = true
	m.forwarded = m.forwarded || o.Forwarded
	err := fault.New(fault.Interrupted, "%v", o.Err)
	if m.forwarded && (!m.rules.Resume || o.Unresumable) || !m.rules.Repeat {
		return m.giveUp(now, err)
	}
	return m.retry(now, err, m.forwarded)
}

// attemptMoved continues the answer at another target. The budget was charged by Move.
func (m *Machine) attemptMoved(now time.Time) Command {
	m.prepaid = false
	m.mayHaveRun, m.forwarded = true, true
	m.lastErr = fault.New(fault.Interrupted, "the answer was to continue at another target")
	m.reasons = append(m.reasons, fault.Interrupted)
	return m.try(now, true)
}

// retry makes one more attempt if the route and the budget allow it.
func (m *Machine) retry(now time.Time, cause *fault.Error, resume bool) Command {
	if cause.RetryTime().After(m.retryAt) {
		m.retryAt = cause.RetryTime()
	}
	if !m.allowsRetry(now) {
		return m.giveUp(now, cause)
	}
	m.lastErr = cause
	m.reasons = append(m.reasons, cause.Kind())
	return m.try(now, resume)
}

// allowsRetry reports whether the route and the budget allow one more attempt, and charges it unless it
// is prepaid.
func (m *Machine) allowsRetry(now time.Time) bool {
	if m.sent >= m.rules.MaxAttempts || !m.prepay(now) {
		return false
	}
	m.prepaid = false
	return true
}

func (m *Machine) expired(now time.Time) Command {
	if m.sent == 0 {
		return m.giveUp(now, fault.New(fault.DeadlineUnmeetable, "no target took the request before its deadline"))
	}
	return m.giveUp(now, fault.New(fault.TimedOut, "no answer within the time that the route allows"))
}

// giveUp ends the request. If an attempt may have run, it replaces an error that reports "not run" by
// one that reports that the request may have run.
func (m *Machine) giveUp(now time.Time, err *fault.Error) Command {
	if m.forwarded {
		return Abort{Err: err}
	}
	if m.mayHaveRun && err.Kind().Response().Ran() == fault.RanNo {
		err = fault.New(fault.FateUnknown, "an earlier attempt may have run; the last error was: %v", err)
	}
	if err.RetryTime().IsZero() {
		err = err.RetryAt(m.retryAt)
	}
	if err.RetryTime().IsZero() && err.Kind().Response().Ran() == fault.RanNo {
		err = err.RetryAt(now.Add(defaultRetryAfter))
	}
	return Refuse{Err: err}
}
