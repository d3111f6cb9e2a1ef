package telemetry

import (
	"io"
	"log/slog"
)

// Common is what every part of a program is handed by its constructor.
type Common struct {
	// Log writes one line an event.
	Log *slog.Logger
	// Metrics counts.
	Metrics *Metrics
}

// New returns the common parts of the program on the box, logging to w.
func New(w io.Writer, box string) Common {
	log := slog.New(slog.NewTextHandler(w, nil)).With("box", box)
	return Common{Log: log, Metrics: NewMetrics()}
}

// Quiet returns common parts that log nothing, for tests and examples.
func Quiet() Common { return New(io.Discard, "test") }
