package fault

import (
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// class marks every error of this package.
var class = errs.Class("clovertrail")

// Error is an error of a known kind. It may carry the time at which asking
// again is sensible and the field that was wrong.
type Error struct {
	kind    Kind
	field   string
	retryAt time.Time
	cause   error
}

// New returns an error of the kind; the text is formatted as by fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, cause: class.New(format, args...)}
}

// Wrap returns an error of the kind around cause, or nil for a nil cause.
func Wrap(k Kind, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{kind: k, cause: class.Wrap(cause)}
}

// RetryAt returns a copy that carries the time at which to ask again.
func (e *Error) RetryAt(t time.Time) *Error {
	c := *e
	c.retryAt = t
	return &c
}

// Field returns a copy that names the field at fault.
func (e *Error) Field(name string) *Error {
	c := *e
	c.field = name
	return &c
}

// Kind is the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// FieldName is the name of the field at fault, or empty.
func (e *Error) FieldName() string { return e.field }

// RetryTime is the time at which to ask again; zero if none is known.
func (e *Error) RetryTime() time.Time { return e.retryAt }

// Error gives the kind and the cause in one line.
func (e *Error) Error() string { return string(e.kind) + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of err, Internal if it carries none, and the empty
// kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// Find returns the first *Error in the chain of err, or nil.
func Find(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}
