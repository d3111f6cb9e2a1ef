package telemetry

import (
	"io"
	"log/slog"
)

// Common holds the logger and the metrics that the constructors of a program's parts receive.
type Common struct {
	// Log writes one line for each event.
	Log     *slog.Logger
	Metrics *Metrics
}

// New returns a logger that writes to w, with the box in each line, and new metrics.
func New(w io.Writer, box string) Common {
	log := slog.New(slog.NewTextHandler(w, nil)).With("box", box)
	return Common{Log: log, Metrics: NewMetrics()}
}

// Quiet returns a Common that discards its log, for tests and examples.
func Quiet() Common { return New(io.Discard, "test") }
