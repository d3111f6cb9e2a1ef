// Package settings reads a program's settings: JSON with comments, decoded
// strictly into a struct that already holds the defaults.
//
// Every mistake in a file, such as an unknown field, a value of the wrong type, a duration
// without a unit or a number out of range, is an [Error] that names the file, the line and
// the field and states what is allowed; the first mistake is returned. The struct's tags
// specify the checks: json is the name of the field in the file, min and max limit numbers
// and durations, oneof lists the allowed strings, and required marks fields that have no
// default and must be set.
//
// # Usage
//
//	type Settings struct {
//		// Listen is the address on which callers connect, host:port.
//		Listen string `json:"listen" required:"true"`
//		// Interval is the time between two reports.
//		Interval settings.Duration `json:"interval" min:"100ms" max:"10s"`
//	}
//	s := Settings{Interval: settings.Duration(time.Second)}
//	err := settings.Parse("entry.json", raw, &s)
package settings
