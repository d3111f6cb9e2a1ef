package gateway_test

import (
	"slices"
	"strconv"
	"testing"
	"time"
)

// TestWhoseTargetEnded: a connection that breaks off reports nothing about its target's process. Only
// work whose target refuses connections after it is reported as what the target ended under;
// work at a target that lives and cuts it off, as ranks do whose group lost another, is not.
func TestWhoseTargetEnded(t *testing.T) {
	one := rawChunk(marked("id: 1\ndata: x\n\n"))
	for _, tc := range []struct {
		name     string
		path     string
		first    []string
		second   []string
		status   int
		ended    []string
		served   int
		verdicts []string
	}{
		{"it ended, once only", "/once/", []string{crash}, []string{ok}, 502, []string{"a"}, 0, []string{"a gone"}},
		{"it ended, and another served", "/repeat/", []string{crash}, []string{ok}, 200, []string{"a"}, 1, []string{"a gone", "b good"}},
		{"two ended", "/repeat/", []string{crash}, []string{crash}, 502, []string{"a", "b"}, 0, []string{"a gone", "b gone"}},
		{"it ended in the midst of an answer", "/repeat/", []string{head9 + crash}, []string{ok}, 200, []string{"a"}, 1, []string{"a gone", "b good"}},
		{"it ended in the midst of a stream", "/stream-once/", []string{head + one + crash}, nil, 200, []string{"a"}, 0, []string{"a gone"}},
		{"it lives and cut the answer off", "/repeat/", []string{cut}, []string{ok}, 200, nil, 1, []string{"a bad", "b good"}},
		{"it lives and answered nothing", "/once/", []string{""}, nil, 502, nil, 0, []string{"a bad"}},
		{"it failed", "/once/", []string{failed}, nil, 500, nil, 0, []string{"a bad"}},
		{"it declined", "/once/", []string{busy}, []string{busy}, 503, nil, 0, []string{"a full", "b full"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newRig(t, newTarget(t, "a", tc.first...), newTarget(t, "b", tc.second...))
			if got := r.ask("POST", tc.path, "body"); got.status != tc.status {
				t.Errorf("status %d, want %d", got.status, tc.status)
			}
			for r.g.InFlight() > 0 { // the caller may know first
				time.Sleep(time.Millisecond)
			}
			if !slices.Equal(r.quarantine.ended, tc.ended) || r.quarantine.served != tc.served {
				t.Errorf("ended %v, served %d", r.quarantine.ended, r.quarantine.served)
			}
			if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
				t.Errorf("verdicts %v", r.fleet.verdicts)
			}
		})
	}
}

// TestBarredWorkReachesNoTarget: it is refused at once as not run, with the time to come back;
// an attempt that ends a target is not followed by another if that was one too many, and then
// nothing is said of whether it ran.
func TestBarredWorkReachesNoTarget(t *testing.T) {
	a, b := newTarget(t, "a", crash), newTarget(t, "b", ok)
	r := newRig(t, a, b)
	r.quarantine.enough = 1
	if got := r.ask("POST", "/repeat/", "body"); got.status != 502 {
		t.Errorf("the first try is answered %d", got.status)
	}
	got := r.ask("POST", "/repeat/", "body")
	rest, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != 503 || err != nil || rest < 60 || rest > 120 {
		t.Errorf("the second try is answered %d, to come back in %q", got.status, got.header.Get("Retry-After"))
	}
	if na, nb := len(a.requests()), len(b.requests()); na != 1 || nb != 0 {
		t.Errorf("%d requests reached the target that ended, %d the other", na, nb)
	}
}
