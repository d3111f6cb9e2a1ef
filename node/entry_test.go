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

	"clovertrail.dev/node"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/settings"
	"clovertrail.dev/telemetry"
)

const (
	service = "app"
	key     = "key-1"
	// patience bounds the waits for what must come about; nothing is read from how long
	// it took.
	patience = 30 * time.Second
)

// rig is a store, targets, and entry boxes of this process on the loopback interface.
type rig struct {
	t       *testing.T
	store   *standin.Store
	address string // of the store
	client  *http.Client

	mu  sync.Mutex
	ran []standin.Run
	ids int
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, store: standin.NewStore(), client: &http.Client{Transport: &http.Transport{}}}
	r.address = r.serve(r.store)
	t.Cleanup(r.client.CloseIdleConnections)
	return r
}

// serve serves the handler until the test ends.
func (r *rig) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: patience}
	go func() { _ = s.Serve(l) }() // it ends with the test
	r.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// target starts one and lists it.
func (r *rig) target(id string) (*standin.Target, string) {
	x := standin.NewTarget(id, service, func(run standin.Run) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ran = append(r.ran, run)
	})
	address := r.serve(x)
	r.put("servers", id, x.Object(address, "hall-1", "ready"))
	return x, address
}

func (r *rig) configure(version int) {
	r.put("config", "main", standin.Configuration(version, service, map[string]string{"org": key}))
}

func (r *rig) put(kind, name string, spec any) {
	if _, err := r.store.Put(kind, name, spec); err != nil {
		r.t.Fatal(err)
	}
}

// runsAt are the requests that ran at the target.
func (r *rig) runsAt(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, run := range r.ran {
		if run.Target == id {
			n++
		}
	}
	return n
}

// box is an entry box that runs.
type box struct {
	rig      *rig
	settings process.EntrySettings
	leave    chan struct{}
	once     sync.Once
	ended    chan error
}

// box starts an entry box whose settings are changed so.
func (r *rig) box(name string, change func(*process.EntrySettings)) *box {
	s := process.DefaultEntrySettings()
	s.Box, s.Hall, s.Store = name, "hall-1", r.address
	s.Callers, s.Ready, s.Peers = r.free(), r.free(), r.free()
	s.Bounds.Stop = settings.Duration(4 * time.Second)
	if change != nil {
		change(&s)
	}
	b := &box{rig: r, settings: s, leave: make(chan struct{}), ended: make(chan error, 1)}
	e := node.NewEntry(telemetry.Quiet(), process.MachineNetwork(), func() process.EntrySettings { return s })
	go func() { b.ended <- e.Run(b.leave) }()
	r.t.Cleanup(func() {
		b.stop()
		if err := <-b.ended; err != nil {
			r.t.Errorf("%s ended with %v", name, err)
		}
	})
	return b
}

// taken are the addresses that were given to boxes.
var taken sync.Map

// free is an address that nobody listens at. It is of a loopback address of the
// process's own and given once, so that nobody takes it in the meantime.
func (r *rig) free() string {
	const octet = 250
	pid := os.Getpid()
	own := fmt.Sprintf("127.%d.%d.1:0", 1+pid/octet%octet, 1+pid%octet)
	for {
		l, err := net.Listen("tcp", own)
		if err != nil {
			r.t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close() // only its port was wanted
		if _, given := taken.LoadOrStore(address, true); !given {
			return address
		}
	}
}

func (b *box) stop() { b.once.Do(func() { close(b.leave) }) }

// ask asks the box on the path.
func (b *box) ask(path, key string) standin.Reply {
	b.rig.mu.Lock()
	b.rig.ids++
	id := "q-" + strconv.Itoa(b.rig.ids)
	b.rig.mu.Unlock()
	return standin.Send(context.Background(), b.rig.client, "http://"+b.settings.Callers, standin.Request{
		ID: id, Path: path, Key: key, Body: "body", Timeout: patience,
	})
}

// ready reports whether the box reports that it takes callers.
func (b *box) ready() bool {
	resp, err := b.rig.client.Get("http://" + b.settings.Ready + "/")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the status says all
	return resp.StatusCode == http.StatusOK
}

// until waits for what must come about.
func (r *rig) until(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("it never came about that %s", what)
		}
	}
}

func (r *rig) serving(b *box) {
	r.t.Helper()
	r.until("the box serves", func() bool { return b.ready() && b.ask("/again/x", key).Correct })
}

func TestAnEntryBoxServesItsCallers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.target("i-1")
	r.target("i-2")
	r.configure(1)
	b := r.box("box-1", nil)
	r.serving(b)
	tests := []struct {
		name, path, key string
		status          int
	}{
		{"a plain request", "/again/x", key, http.StatusOK},
		{"one that may run only once", "/once/x", key, http.StatusOK},
		{"a stream", "/stream/x", key, http.StatusOK},
		{"a route of the configuration in force", standin.VersionPath(1), key, http.StatusOK},
		{"no route", "/nowhere/x", key, http.StatusNotFound},
		{"nobody's key", "/again/x", "other", http.StatusUnauthorized},
	}
	for _, tc := range tests {
		got := b.ask(tc.path, tc.key)
		if got.Status != tc.status || got.Correct != (tc.status == http.StatusOK) {
			t.Errorf("%s: answered %d, right: %v %s %v", tc.name, got.Status, got.Correct, got.Mismatch, got.Err)
		}
	}
}

func TestABoxIsReadyOnceItHasAConfiguration(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.target("i-1")
	r.configure(1)
	r.store.SetFailureMode(standin.Unavailable, 0)
	b := r.box("box-1", nil)
	r.until("the box answers", func() bool { return b.ask("/again/x", key).Status != 0 })
	if got := b.ask("/again/x", key); b.ready() || got.Status != http.StatusServiceUnavailable || got.RetryAfter <= 0 {
		t.Errorf("without a configuration: ready %v, answered %d, to come again after %v", b.ready(), got.Status, got.RetryAfter)
	}
	r.store.SetFailureMode(standin.Healthy, 0)
	r.serving(b)
}

func TestABoxThatTheStoreTurnsAwayLearnsFromAnother(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.target("i-1")
	r.configure(1)
	first := r.box("box-1", func(s *process.EntrySettings) { s.Meeting = r.free() })
	r.serving(first)
	away := standin.NewStore()
	away.SetFailureMode(standin.Unavailable, 0)
	second := r.box("box-2", func(s *process.EntrySettings) {
		s.Store = r.serve(away)
		s.Meeting = r.free()
		s.Seeds = []string{first.settings.Meeting}
	})
	r.serving(second)
	r.configure(2)
	r.until("the second box has the next configuration", func() bool {
		return second.ask(standin.VersionPath(2), key).Correct
	})
}

func TestALeavingTargetGetsNothing(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	stays, leaves := "i-1", "i-2"
	r.target(stays)
	x, address := r.target(leaves)
	r.configure(1)
	b := r.box("box-1", nil)
	r.until("both targets are used", func() bool {
		b.ask("/again/x", key)
		return r.runsAt(stays) > 0 && r.runsAt(leaves) > 0
	})
	r.put("servers", leaves, x.Object(address, "hall-1", "draining"))
	r.configure(2)
	r.until("the box has what came after", func() bool { return b.ask(standin.VersionPath(2), key).Correct })
	quiet := 0
	r.until("the target is left alone", func() bool { // the two lists are watched apart
		before := r.runsAt(leaves)
		b.ask("/again/x", key)
		if quiet++; r.runsAt(leaves) > before {
			quiet = 0
		}
		return quiet > 40
	})
	if r.runsAt(stays) == 0 {
		t.Error("the other target got nothing")
	}
}

func TestAPlannedStopEndsWhatIsUnderWay(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	x, _ := r.target("i-1")
	r.configure(1)
	b := r.box("box-1", nil)
	r.serving(b)
	x.ChangeBehaviour(func(h *standin.Behaviour) { h.Events, h.EventGap = 40, 25*time.Millisecond })
	before := r.runsAt("i-1")
	replies := make(chan standin.Reply, 4)
	for range cap(replies) {
		go func() { replies <- b.ask("/stream/x", key) }()
	}
	r.until("the streams have begun", func() bool { return r.runsAt("i-1") == before+cap(replies) })
	b.stop()
	r.until("the box says that it leaves", func() bool { return !b.ready() })
	for range cap(replies) {
		if got := <-replies; !got.Correct {
			t.Errorf("a stream ended with %d, %s, %v", got.Status, got.Mismatch, got.Err)
		}
	}
}
