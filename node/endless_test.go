package node_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"clovertrail.dev/platform/standin"
)

// TestEntryServesBesideResponsesWithoutEnd has many callers use a box of whose targets one sends heads without end, and one
// bodies. Requests that reach only sound targets are served; others may fail if both of their attempts meet broken ones, or no
// retry is left.
func TestEntryServesBesideResponsesWithoutEnd(t *testing.T) {
	t.Parallel()
	for _, route := range []string{"again", "stream"} {
		for _, body := range []standin.Endless{standin.EndlessUnsignedBody, standin.EndlessForeignBody, standin.EndlessEvent} {
			t.Run(route+" "+string(body), func(t *testing.T) { testBesideEndless(t, "/"+route+"/x", body) })
		}
	}
}

func testBesideEndless(t *testing.T, path string, body standin.Endless) {
	const callers, each, targets = 30, 8, 8
	r := newRig(t)
	kinds := []standin.Endless{standin.EndlessHead, body}
	var broken []*standin.Target
	for n := range targets {
		if x, _ := r.target(fmt.Sprintf("i-%d", n)); n < len(kinds) {
			broken = append(broken, x)
		}
	}
	r.configure(1)
	b := r.box("box-1", nil)
	r.waitUntilServing(b)
	for n, x := range broken {
		x.ChangeBehaviour(func(h *standin.Behaviour) { h.Endless = kinds[n] })
	}
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			for i := range each {
				id := fmt.Sprintf("e-%d-%d", n, i)
				got := standin.Send(context.Background(), r.client, "http://"+b.settings.Callers, standin.Request{ID: id, Path: path, Key: key, Body: "body", Timeout: waitTimeout})
				lost := got.Status == http.StatusBadGateway && got.RetryAfter == 0 && r.ranAt(id, broken)
				if !got.Correct && !lost {
					t.Errorf("%s: status %d, wrong: %s, error: %v", id, got.Status, got.Mismatch, got.Err)
				}
			}
		})
	}
	wg.Wait()
	for _, x := range broken {
		r.checkEndless(x)
	}
}

// ranAt reports whether the request ran at one of the targets.
func (r *rig) ranAt(request string, targets []*standin.Target) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.runs, func(run standin.Run) bool {
		return run.ID == request && slices.ContainsFunc(targets, func(x *standin.Target) bool { return x.ID() == run.Target })
	})
}

// checkEndless checks that the box has closed the connection of each response without end.
func (r *rig) checkEndless(x *standin.Target) {
	r.t.Helper()
	r.waitUntil("the responses of "+x.ID()+" have ended", func() bool { return x.Running() == 0 })
	list := x.EndlessResponses()
	if len(list) == 0 {
		r.t.Errorf("%s sent no response without end", x.ID())
	}
	for _, response := range list {
		if response.Bytes >= standin.MaxEndlessBytes {
			r.t.Errorf("%d bytes of %s were read", response.Bytes, response.Kind)
		}
	}
}
