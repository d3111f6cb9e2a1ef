package call

import (
	"log/slog"
	"math"
)

// Limit is the request rate that a target accepts from all boxes together.
type Limit interface{ limit() }

// Unlimited means that the target accepts every request.
type Unlimited struct{}

// Limited means that the target accepts PerSecond requests a second, for as long as it keeps
// reporting this limit.
type Limited struct{ PerSecond float64 }

// maxPerSecond is the highest limit, in requests a second; no target accepts more. It keeps a
// corrupted number in a range that is safe to calculate with.
const maxPerSecond = 1e6

// NewLimited returns a limit of perSecond requests a second, capped at 1e6; false if perSecond
// is negative, infinite or not a number.
func NewLimited(perSecond float64) (Limited, bool) {
	if !(perSecond >= 0) || math.IsInf(perSecond, 0) {
		return Limited{}, false
	}
	return Limited{PerSecond: min(perSecond, maxPerSecond)}, true
}

func (Unlimited) limit() {}
func (Limited) limit()   {}

// LogValue implements slog.LogValuer.
func (Unlimited) LogValue() slog.Value { return slog.StringValue("none") }

// LogValue implements slog.LogValuer.
func (l Limited) LogValue() slog.Value { return slog.Float64Value(l.PerSecond) }
