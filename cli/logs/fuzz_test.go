package logs_test

import (
	"bytes"
	"testing"

	"clovertrail.dev/cli/logs"
)

// FuzzRead parses arbitrary bytes as a log. Neither Read nor the accessors of a line may panic, and
// the parsed and the damaged lines together must not outnumber the lines of the input.
func FuzzRead(f *testing.F) {
	f.Add([]byte("time=2026-02-15T20:07:45.000Z level=INFO msg=started box=front-1 hall=h\n"))
	f.Add([]byte("time=never msg=\"half a li"))
	f.Add([]byte("\x00\xff=\n\n=\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		set, err := logs.Read(bytes.NewReader(raw))
		if err != nil {
			return
		}
		if n := bytes.Count(raw, []byte("\n")) + 1; len(set.Lines())+set.Damaged() > n {
			t.Errorf("got %d parsed and %d damaged lines from an input of %d lines", len(set.Lines()), set.Damaged(), n)
		}
		for _, l := range set.Lines() {
			l.Duration("after")
			l.Number("skew")
		}
	})
}
