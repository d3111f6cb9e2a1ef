package retry

import (
	"time"

	"clovertrail.dev/core/fault"
)

// Command is what the owner of a Course must do next. The set is closed: Try, Deliver,
// Refuse and Abort.
type Command interface{ command() }

// Try asks for the request to be sent to a target, best to one not yet tried.
type Try struct {
	// Attempt counts from 1.
	Attempt int
	// Resume tells to ask for what follows the last event that the caller has.
	Resume bool
	// FirstByteDeadline is when to give the attempt up if its answer has not begun; zero for
	// never before the deadline.
	FirstByteDeadline time.Time
	// Movable reports that the answer, once the caller has a part of it, may be taken up at
	// another target while this one still gives it.
	Movable bool
}

// Abort ends the machine: the caller has part of the answer and gets no more.
type Abort struct{ Err *fault.Error }

// Deliver ends the machine: the answer belongs to the caller.
type Deliver struct{}

// Refuse ends the machine: the caller is answered with the error's kind.
type Refuse struct{ Err *fault.Error }

func (Deliver) command() {}
func (Refuse) command()  {}
func (Try) command()     {}
func (Abort) command()   {}
