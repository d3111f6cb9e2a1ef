package eventstream

import "fmt"

// OrderError reports an event that must not follow the one before it.
type OrderError struct{ id, last string }

// ID returns the ID of the event.
func (e *OrderError) ID() string { return e.id }

// Last returns the ID of the event that it follows.
func (e *OrderError) Last() string { return e.last }

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %.40s follows event %.40s", e.id, e.last)
}
