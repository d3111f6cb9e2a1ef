package call

import "log/slog"

// Limit is what a target says of how many requests it takes from all boxes together.
type Limit interface{ limit() }

// Unlimited says that the target takes what it is sent.
type Unlimited struct{}

// Limited says that the target takes so many requests a second, for as long as it says so.
type Limited struct{ PerSecond float64 }

func (Unlimited) limit() {}
func (Limited) limit()   {}

// LogValue implements slog.LogValuer.
func (l Limited) LogValue() slog.Value { return slog.Float64Value(l.PerSecond) }
