package retry

import "clovertrail.dev/core/fault"

// Outcome is how an attempt ended. The set is closed.
type Outcome interface{ end() }

// Answered is the end in which the answer went to the caller whole.
type Answered struct{}

// Lost is the end in which it was sent and no answer began; it may have run.
type Lost struct{ Err error }

// NotSent is the end in which nothing of the request left this box.
type NotSent struct{ Err error }

// Declined is the end in which the target promised that it did not run the request
// and never will.
type Declined struct {
	Err *fault.Error
}

// Failed is the end in which the target ran the request and answered that it could
// not serve it; the answer is at hand.
type Failed struct{ Status int }

// FirstByteTimedOut is the end in which the attempt ran out of patience; the answer may still
// come, so it is cut off.
type FirstByteTimedOut struct{}

// Broken is the end in which the answer broke off after it had begun. Passed tells
// whether the caller has any of it.
type Broken struct {
	Err       error
	Forwarded bool
}

// Moved is the end in which the attempt was cut off in the midst of its answer so that
// another target goes on with it, for which the attempt there is paid already.
type Moved struct{}

// Expired is the end in which the deadline passed.
type Expired struct{}

func (Answered) end()          {}
func (Lost) end()              {}
func (NotSent) end()           {}
func (Declined) end()          {}
func (Failed) end()            {}
func (FirstByteTimedOut) end() {}
func (Broken) end()            {}
func (Moved) end()             {}
func (Expired) end()           {}

// ResolveTimeout is the end of an attempt that was cut off for its silence and came to the
// end e. An answer that began at the last moment counts; above all, one of which the
// caller has a part must not be taken for one that never began.
func ResolveTimeout(e Outcome) Outcome {
	switch e := e.(type) {
	case Answered, Failed:
		return e
	case Broken:
		if e.Forwarded {
			return e
		}
	}
	return FirstByteTimedOut{}
}
