// Package settings reads a program's settings: JSON with comments, decoded
// strictly into a struct that already holds the defaults.
//
// Every mistake is reported as an [Error] that names file, line and field and states
// what is allowed: a field that does not exist, a value of the wrong type, a duration
// without a unit, a number out of range. The struct's tags specify the checks:
// json for the name, min and max for numbers and durations, oneof for strings,
// required for values without a default.
//
// # Usage
//
//	type Settings struct {
//		// Listen is the address for callers.
//		Listen string `json:"listen" required:"true"`
//		// Round is the interval between two reports.
//		Round settings.Duration `json:"round" min:"100ms" max:"10s"`
//	}
//	s := Settings{Round: settings.Duration(time.Second)}
//	err := settings.Parse("entry.json", raw, &s)
package settings
