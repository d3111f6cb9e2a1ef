package node

import (
	"context"
	"errors"
	"time"

	"clovertrail.dev/store"
)

// sleepUntil waits until the time or the end of ctx.
func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func isHistoryLost(err error) bool { return errors.Is(err, store.ErrHistoryLost) }
