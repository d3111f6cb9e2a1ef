package limit

import (
	"errors"
	"fmt"
)

// Error reports that a peer sent more than a limit allows.
type Error struct {
	what     string
	maxBytes int64
}

// New returns an error that names what was too long, and its limit.
func New(what string, maxBytes int64) *Error { return &Error{what: what, maxBytes: maxBytes} }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s exceeds the limit of %d bytes", e.what, e.maxBytes)
}

// IsExceeded reports whether the error is that of a limit.
func IsExceeded(err error) bool {
	var e *Error
	return errors.As(err, &e)
}
