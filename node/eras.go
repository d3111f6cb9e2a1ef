package node

import (
	"sync"

	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
)

// eras keeps the latest era that the store has stated.
//
// Lock order: mu is the only lock.
type eras struct {
	common telemetry.Common

	mu     sync.Mutex
	latest store.Era
}

// stated takes the era of an answer of the store.
func (e *eras) stated(era store.Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.latest {
		return
	}
	before := e.latest
	e.latest = era
	e.common.Metrics.Set(telemetry.StoreEra, "", float64(era))
	if before == 0 {
		e.common.Log.Info("store era", "era", era)
		return
	}
	e.common.Log.Warn("store was restored from a copy", "era", era, "before", before)
}
