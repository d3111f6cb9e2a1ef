package settings

import (
	"fmt"
	"strings"
	"time"
)

// Error is a mistake in a settings file.
type Error struct {
	file  string
	line  int
	field string
	text  string

	incomplete bool
}

// File returns the name of the settings file.
func (e *Error) File() string { return e.file }

// Line returns the line of the mistake, from 1; 0 if it has none, such as a missing field.
func (e *Error) Line() int { return e.line }

// Field returns the path of the field, such as "limits.body_bytes".
func (e *Error) Field() string { return e.field }

// Incomplete reports whether the file could not be read or is not JSON, as while it is being written.
func (e *Error) Incomplete() bool { return e.incomplete }

// Error returns the mistake on one line, in the form file:line: field: text.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.file)
	if e.line > 0 {
		fmt.Fprintf(&b, ":%d", e.line)
	}
	if e.field != "" {
		b.WriteString(": " + e.field)
	}
	b.WriteString(": " + e.text)
	return b.String()
}

// Duration is a time.Duration written with its unit, such as "250ms".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; the text needs a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
