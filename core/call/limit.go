package call

import (
	"log/slog"
	"math"
)

// Limit is what a target states about how many requests it takes from all boxes together.
type Limit interface{ limit() }

// Unlimited means that the target takes what it is sent.
type Unlimited struct{}

// Limited means that the target takes so many requests a second, for as long as it reports it.
type Limited struct{ PerSecond float64 }

// limitMost is more than any target takes. It keeps a number that was garbled on its way within
// what can be reckoned with.
const limitMost = 1e6

// NewLimited returns the limit of so many requests a second; false if that is none that a target
// can mean.
func NewLimited(perSecond float64) (Limited, bool) {
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return Limited{}, false
	}
	return Limited{PerSecond: min(perSecond, limitMost)}, true
}

func (Unlimited) limit() {}
func (Limited) limit()   {}

// LogValue implements slog.LogValuer.
func (Unlimited) LogValue() slog.Value { return slog.StringValue("none") }

// LogValue implements slog.LogValuer.
func (l Limited) LogValue() slog.Value { return slog.Float64Value(l.PerSecond) }
