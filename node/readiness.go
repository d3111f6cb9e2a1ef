package node

import (
	"net/http"
	"sync/atomic"
)

// readiness answers the platform's question whether the box takes callers.
type readiness struct{ ready atomic.Bool }

func (r *readiness) set(ready bool) { r.ready.Store(ready) }

// ServeHTTP implements http.Handler.
func (r *readiness) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if !r.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
