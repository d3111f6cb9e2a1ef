package gateway_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
)

// leavingCaller is a caller that leaves as soon as it has the whole body.
type leavingCaller struct {
	*httptest.ResponseRecorder
	missing int // bytes of the body that have not arrived
	leave   func()
}

// Write implements http.ResponseWriter.
func (c *leavingCaller) Write(b []byte) (int, error) {
	if c.missing -= len(b); c.missing <= 0 {
		c.leave()
	}
	return c.ResponseRecorder.Write(b)
}

// TestFailureCountsIfCallerLeavesWithIt guards against a target that fails with long bodies and keeps its good standing, since
// its callers close their connections as they have them.
func TestFailureCountsIfCallerLeavesWithIt(t *testing.T) {
	for _, tc := range []struct {
		name, script string
		missing      int
		verdict      string
	}{
		{"long failure", longFailure, len(longBody), "a bad"},
		{"long response", strings.Replace(longFailure, "500 Oops", "200 OK", 1), len(longBody), "a good"},
		{"the caller leaves midway", longFailure[:len(longFailure)-len(longBody)/4] + hang, len(longBody) / 2, "a neutral"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newFixture(t, newTarget(t, "a", tc.script))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/once/", strings.NewReader("body"))
			req.Header.Set("Id", "1")
			func() {
				defer func() { _ = recover() }() // the gateway aborts the handler of a caller that has left
				r.g.ServeHTTP(&leavingCaller{httptest.NewRecorder(), tc.missing, cancel}, req)
			}()
			if got := r.fleet.verdicts; !slices.Equal(got, []string{tc.verdict}) {
				t.Errorf("verdicts %v, want %s", got, tc.verdict)
			}
		})
	}
}
