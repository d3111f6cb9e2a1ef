package retry

import (
	"time"

	"clovertrail.dev/core/fault"
)

// Command is the next action that the owner of a Machine must take. The set is closed: Try, Deliver,
// Refuse and Abort.
type Command interface{ command() }

// Try requests another attempt, preferably at a target that has not been tried yet.
type Try struct {
	// Attempt counts from 1.
	Attempt int
	// Resume reports that the target must continue the stream after the last event that the caller has.
	Resume bool
	// FirstByteDeadline is the time at which the owner calls ReplaceOverdue if the answer has not begun
	// and there is another target. If it is zero, only the deadline of the request applies.
	FirstByteDeadline time.Time
	// Movable reports that a stream of which the caller has a part may be moved to another target
	// while this target is still sending it.
	Movable bool
}

// Abort ends the machine: the caller has part of the answer, which must be broken off.
type Abort struct{ Err *fault.Error }

// Deliver ends the machine: the answer of the target goes to the caller.
type Deliver struct{}

// Refuse ends the machine: the caller gets an error answer of Err's kind.
type Refuse struct{ Err *fault.Error }

func (Deliver) command() {}
func (Refuse) command()  {}
func (Try) command()     {}
func (Abort) command()   {}
