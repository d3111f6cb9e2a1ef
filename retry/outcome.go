package retry

import "clovertrail.dev/core/fault"

// Outcome is the result of an attempt. The set is closed.
type Outcome interface{ outcome() }

// Answered means that the whole answer went to the caller.
type Answered struct{}

// Lost means that the request was sent and no answer began. The request may have run.
type Lost struct{ Err error }

// NotSent means that nothing of the request left this box.
type NotSent struct{ Err error }

// Declined means that the target guarantees that it did not run the request and never will.
type Declined struct {
	Err *fault.Error
}

// Failed means that the target ran the request and answered that it could not serve it. That answer
// can still be delivered.
type Failed struct {
	Status int
	// Forwarded reports that the whole answer went to the caller, because it is too long to be kept.
	Forwarded bool
}

// FirstByteTimedOut means that the attempt was cancelled because no answer had begun by its
// FirstByteDeadline and Machine.ReplaceOverdue allowed another attempt. The request may have run.
type FirstByteTimedOut struct{}

// Broken means that the answer broke off after it had begun.
type Broken struct {
	Err error
	// Forwarded reports that the caller has a part of the answer.
	Forwarded bool
	// Unresumable reports that no target can determine where that part ends, so that none may continue the answer.
	Unresumable bool
}

// Suspected means that the request may be why the target of the attempt ended, or that its work was put in quarantine
// meanwhile, so that it must not reach another target. The request may have run.
type Suspected struct{ Err error }

// Moved means that the attempt was cut off in the middle of its answer so that another target can
// continue it. Machine.Move has already charged the next attempt to the budget.
type Moved struct{}

// Expired means that the deadline of the request passed.
type Expired struct{}

func (Answered) outcome()          {}
func (Lost) outcome()              {}
func (NotSent) outcome()           {}
func (Declined) outcome()          {}
func (Failed) outcome()            {}
func (FirstByteTimedOut) outcome() {}
func (Broken) outcome()            {}
func (Suspected) outcome()         {}
func (Moved) outcome()             {}
func (Expired) outcome()           {}

// ResolveTimeout returns the outcome of an attempt that was cancelled at its FirstByteDeadline and
// then ended with the outcome o. What the target answered at the last moment counts: an answer of which
// the caller has a part must not be treated as one that never began, and a request that the target
// declined, or that was not sent, is proven not to have run.
func ResolveTimeout(o Outcome) Outcome {
	switch o := o.(type) {
	case Lost, Expired:
		return FirstByteTimedOut{}
	case Broken:
		if !o.Forwarded {
			return FirstByteTimedOut{}
		}
	}
	return o
}
