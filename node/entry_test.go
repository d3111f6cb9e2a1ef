package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/node"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/settings"
	"clovertrail.dev/shutdown"
	"clovertrail.dev/telemetry"
)

const (
	service = "app"
	key     = "key-1"
	// waitTimeout bounds the wait for a condition that must come true. No test depends on how long
	// the wait took.
	waitTimeout = 30 * time.Second
)

// rig runs a store, targets and entry boxes in this process, on the loopback interface.
type rig struct {
	t            *testing.T
	store        *standin.Store
	storeAddress string
	client       *http.Client

	mu       sync.Mutex
	runs     []standin.Run // requests that ran at the targets
	requests int           // number of requests sent to boxes
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, store: standin.NewStore(), client: &http.Client{Transport: &http.Transport{}}}
	r.storeAddress = r.serve(r.store)
	t.Cleanup(r.client.CloseIdleConnections)
	return r
}

// serve serves the handler until the test ends, and returns its address.
func (r *rig) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: waitTimeout}
	go func() { _ = s.Serve(l) }() // returns an error once the server is closed
	r.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// target starts a target, lists it in the store, and returns it with its address.
func (r *rig) target(id string) (*standin.Target, string) {
	x := standin.NewTarget(id, service, func(run standin.Run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runs = append(r.runs, run)
	})
	address := r.serve(x)
	r.put("servers", id, x.Object(address, "hall-1", "ready"))
	return x, address
}

// configure puts the version of the configuration into the store.
func (r *rig) configure(version int) {
	r.put("config", "main", standin.Configuration(version, service, map[string]string{"org": key}))
}

// put writes an object into the store.
func (r *rig) put(kind, name string, spec any) {
	if _, err := r.store.Put(kind, name, spec); err != nil {
		r.t.Fatal(err)
	}
}

// runsAt returns the number of requests that ran at the target.
func (r *rig) runsAt(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.runs {
		if run.Target == id {
			n++
		}
	}
	return n
}

// box is a running entry box.
type box struct {
	rig      *rig
	settings process.EntrySettings
	stopping *process.Stop
	once     sync.Once
	ended    chan error // receives the result of Run
}

// box starts an entry box with the default settings as changed by change.
func (r *rig) box(name string, change func(*process.EntrySettings)) *box {
	s := process.DefaultEntrySettings()
	s.Box, s.Hall, s.Store = name, "hall-1", r.storeAddress
	s.Callers, s.Ready, s.Peers = r.freeAddress(), r.freeAddress(), r.freeAddress()
	s.Bounds.Stop = settings.Duration(4 * time.Second)
	if change != nil {
		change(&s)
	}
	b := &box{rig: r, settings: s, stopping: process.NewStop(), ended: make(chan error, 1)}
	e := node.NewEntry(telemetry.Quiet(), process.MachineNetwork(), func() process.EntrySettings { return s })
	go func() { b.ended <- e.Run(b.stopping) }()
	r.t.Cleanup(func() {
		b.stop()
		if err := <-b.ended; err != nil {
			r.t.Errorf("entry box %s ended with error: %v", name, err)
		}
	})
	return b
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses sync.Map

// freeAddress returns an address with a port on which nothing listens. The loopback IP address is
// derived from the process ID and no address is returned twice, so that no other test or process
// uses the port before the box does.
func (r *rig) freeAddress() string {
	const octet = 250
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.1:0", 1+pid/octet%octet, 1+pid%octet)
	for {
		l, err := net.Listen("tcp", own)
		if err != nil {
			r.t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close() // only the port number is needed
		if _, used := usedAddresses.LoadOrStore(address, true); !used {
			return address
		}
	}
}

// stop begins the planned stop of the box.
func (b *box) stop() { b.once.Do(func() { b.stopping.Request(shutdown.SignalAt(clock.Now())) }) }

// request sends a request for the path to the box.
func (b *box) request(path, key string) standin.Reply {
	b.rig.mu.Lock()
	b.rig.requests++
	id := "q-" + strconv.Itoa(b.rig.requests)
	b.rig.mu.Unlock()
	return standin.Send(context.Background(), b.rig.client, "http://"+b.settings.Callers, standin.Request{
		ID: id, Path: path, Key: key, Body: "body", Timeout: waitTimeout,
	})
}

// ready returns the result of the box's readiness check.
func (b *box) ready() bool {
	resp, err := b.rig.client.Get("http://" + b.settings.Ready + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is needed
	return resp.StatusCode == http.StatusOK
}

// waitUntil fails the test if the condition does not come true within waitTimeout.
func (r *rig) waitUntil(condition string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// waitUntilServing waits until the box is ready and serves requests.
func (r *rig) waitUntilServing(b *box) {
	r.t.Helper()
	r.waitUntil("the box serves", func() bool { return b.ready() && b.request("/again/x", key).Correct })
}

func TestEntryServesCallers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.target("i-1")
	r.target("i-2")
	r.configure(1)
	b := r.box("box-1", nil)
	r.waitUntilServing(b)
	tests := []struct {
		name, path, key string
		status          int
	}{
		{"repeatable request", "/again/x", key, http.StatusOK},
		{"request that may run only once", "/once/x", key, http.StatusOK},
		{"stream", "/stream/x", key, http.StatusOK},
		{"route of the configuration in force", standin.VersionPath(1), key, http.StatusOK},
		{"unknown route", "/nowhere/x", key, http.StatusNotFound},
		{"unknown key", "/again/x", "other", http.StatusUnauthorized},
	}
	for _, tc := range tests {
		got := b.request(tc.path, tc.key)
		if got.Status != tc.status || got.Correct != (tc.status == http.StatusOK) {
			t.Errorf("%s: status %d, want %d; right: %v, wrong: %s, error: %v", tc.name, got.Status, tc.status, got.Correct, got.Mismatch, got.Err)
		}
	}
}

// TestEntryNotReadyWithoutConfiguration: while the store is busy, a box has no configuration and
// refuses requests with a time to retry.
func TestEntryNotReadyWithoutConfiguration(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.target("i-1")
	r.configure(1)
	r.store.SetFailureMode(standin.Unavailable, 0)
	b := r.box("box-1", nil)
	r.waitUntil("the box answers", func() bool { return b.request("/again/x", key).Status != 0 })
	if got := b.request("/again/x", key); b.ready() || got.Status != http.StatusServiceUnavailable || got.RetryAfter <= 0 {
		t.Errorf("without a configuration: ready %v, status %d, retry after %v", b.ready(), got.Status, got.RetryAfter)
	}
	r.store.SetFailureMode(standin.Healthy, 0)
	r.waitUntilServing(b)
}

func TestEntrySyncsFromPeerWhileStoreRejectsIt(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.target("i-1")
	r.configure(1)
	first := r.box("box-1", func(s *process.EntrySettings) { s.Meeting = r.freeAddress() })
	r.waitUntilServing(first)
	busy := standin.NewStore()
	busy.SetFailureMode(standin.Unavailable, 0)
	second := r.box("box-2", func(s *process.EntrySettings) {
		s.Store = r.serve(busy)
		s.Meeting = r.freeAddress()
		s.Seeds = []string{first.settings.Meeting}
	})
	r.waitUntilServing(second)
	r.configure(2)
	r.waitUntil("the second box has the next configuration", func() bool {
		return second.request(standin.VersionPath(2), key).Correct
	})
}

func TestDrainingTargetReceivesNoRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	ready, draining := "i-1", "i-2"
	r.target(ready)
	x, address := r.target(draining)
	r.configure(1)
	b := r.box("box-1", nil)
	r.waitUntil("both targets are used", func() bool {
		b.request("/again/x", key)
		return r.runsAt(ready) > 0 && r.runsAt(draining) > 0
	})
	r.put("servers", draining, x.Object(address, "hall-1", "draining"))
	r.configure(2)
	r.waitUntil("the box has the next configuration", func() bool { return b.request(standin.VersionPath(2), key).Correct })
	// The configuration and the targets are watched separately, so the next configuration does not
	// show that the box has the target's state.
	unused := 0 // requests in a row that did not reach the draining target
	r.waitUntil("the draining target receives no requests", func() bool {
		before := r.runsAt(draining)
		b.request("/again/x", key)
		if unused++; r.runsAt(draining) > before {
			unused = 0
		}
		return unused > 40
	})
	if r.runsAt(ready) == 0 {
		t.Error("the ready target received no requests")
	}
}

func TestPlannedStopCompletesStreams(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	x, _ := r.target("i-1")
	r.configure(1)
	b := r.box("box-1", nil)
	r.waitUntilServing(b)
	x.ChangeBehaviour(func(h *standin.Behaviour) { h.Events, h.EventGap = 40, 25*time.Millisecond })
	before := r.runsAt("i-1")
	replies := make(chan standin.Reply, 4)
	for range cap(replies) {
		go func() { replies <- b.request("/stream/x", key) }()
	}
	r.waitUntil("all streams have started", func() bool { return r.runsAt("i-1") == before+cap(replies) })
	b.stop()
	r.waitUntil("the box reports that it is not ready", func() bool { return !b.ready() })
	for range cap(replies) {
		if got := <-replies; !got.Correct {
			t.Errorf("stream ended with status %d, wrong: %s, error: %v", got.Status, got.Mismatch, got.Err)
		}
	}
}
