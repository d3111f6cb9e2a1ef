package fault

import (
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// class is the zeebo/errs class of all errors of this package.
var class = errs.Class("clovertrail")

// Error is an error of a known kind. It may carry the earliest time at which a retry is
// sensible and the name of the invalid field.
type Error struct {
	kind    Kind
	field   string
	retryAt time.Time
	cause   error
}

// New returns an error of the kind with a text formatted as by fmt.Errorf.
func New(k Kind, format string, args ...any) *Error {
	return &Error{kind: k, cause: class.New(format, args...)}
}

// Wrap returns an error of the kind that wraps cause, or nil if cause is nil.
func Wrap(k Kind, cause error) error {
	if cause == nil {
		return nil
	}
	return &Error{kind: k, cause: class.Wrap(cause)}
}

// RetryAt returns a copy of the error with the earliest time for a retry.
func (e *Error) RetryAt(t time.Time) *Error {
	c := *e
	c.retryAt = t
	return &c
}

// Field returns a copy of the error with the name of the invalid field.
func (e *Error) Field(name string) *Error {
	c := *e
	c.field = name
	return &c
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// FieldName returns the name of the invalid field; empty if none was set.
func (e *Error) FieldName() string { return e.field }

// RetryTime returns the earliest time for a retry; zero if it is unknown.
func (e *Error) RetryTime() time.Time { return e.retryAt }

// Error returns the kind and the cause in one line.
func (e *Error) Error() string { return string(e.kind) + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first *Error in the chain of err, Internal if there is none,
// and the empty kind for nil.
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
