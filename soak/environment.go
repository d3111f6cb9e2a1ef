package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

// Options are what a run is made of.
type Options struct {
	// Program is the path of the built clovertrail-node.
	Program string
	// Seed draws what happens.
	Seed uint64
	// Duration is how long the run takes, the calm end included.
	Duration time.Duration
	// Boxes, Targets and Callers are how many there are; 0 is the usual number.
	Boxes, Targets, Callers int
	// Dir takes settings and logs.
	Dir string
	// FatalRequests adds a caller whose request crashes each target that runs it. What else happens
	// stays as the seed draws it.
	FatalRequests bool
	// TargetRequests lets targets ask for rest, and say with their answers that they are leaving. What
	// else happens stays as the seed draws it.
	TargetRequests bool
	// TargetLimits lets targets name limits with their answers. What else happens stays as the seed
	// draws it.
	TargetLimits bool
	// Restores lets the store come back from older copies. What else happens stays as the seed
	// draws it.
	Restores bool
}

// The usual sizes of a run: a few processes, so that many runs fit on a machine.
const (
	defaultBoxes   = 4
	defaultTargets = 6
	defaultCallers = 12
)

func (o Options) withDefaults() Options {
	if o.Boxes == 0 {
		o.Boxes = defaultBoxes
	}
	if o.Targets == 0 {
		o.Targets = defaultTargets
	}
	if o.Callers == 0 {
		o.Callers = defaultCallers
	}
	return o
}

// host is a place for a target, one incarnation after the other.
type host struct {
	hall       string
	lifecycle  sync.Mutex // while its target leaves or is down
	current    incarnation
	entryState string // as its target last wrote it
}

// incarnation is one life of a target, with the link before it.
type incarnation struct {
	id     string
	target *standin.Target
	server *http.Server
	proxy  *proxy
}

// organisation holds a key.
type organisation struct{ name, key string }

// world is all that a run has.
type environment struct {
	options     Options
	recorder    *recorder
	store       *standin.Store
	storeServer *http.Server
	boxes       []*box

	configMu sync.Mutex // taken before mu

	mu            sync.Mutex
	hosts         []*host
	incarnations  int
	configVersion int // of the configuration
	stopped       bool
	organisations []organisation
}

// service is what there is to be routed to.
const service = "app"

// newWorld starts all of it.
func newEnvironment(o Options) (*environment, error) {
	e := &environment{options: o, recorder: newRecorder(), store: standin.NewStore()}
	for n := range 3 {
		e.organisations = append(e.organisations, organisation{name: fmt.Sprintf("org-%d", n), key: fmt.Sprintf("key-%d", n)})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.storeServer = startServer(l, e.store)
	for n := range o.Targets {
		if err := e.addHost(n); err != nil {
			return nil, err
		}
	}
	if err := e.writeNextConfiguration(); err != nil {
		return nil, err
	}
	return e, e.startBoxes(l.Addr().String())
}

func startServer(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }() // it ends when the run closes it
	return s
}

func hallName(n int) string { return fmt.Sprintf("hall-%d", n%2) }

func (e *environment) startBoxes(store string) error {
	if err := os.MkdirAll(e.options.Dir, 0o700); err != nil {
		return err
	}
	ports, err := freeAddresses(e.options.Seed, 4*e.options.Boxes)
	if err != nil {
		return err
	}
	for n := range e.options.Boxes {
		p, err := newProxy(store)
		if err != nil {
			return err
		}
		own := ports[4*n : 4*n+4]
		b, err := newBox(e.options.Dir, e.options.Program, fmt.Sprintf("box-%d", n), hallName(n), own, []string{ports[3], ports[7%len(ports)]}, p)
		if err != nil {
			return err
		}
		e.boxes = append(e.boxes, b)
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

// addHost starts a target.
func (e *environment) addHost(n int) error {
	h := &host{hall: hallName(n)}
	e.mu.Lock()
	e.hosts = append(e.hosts, h)
	e.mu.Unlock()
	return e.startTarget(h)
}

// begin starts the next incarnation at the host.
func (e *environment) startTarget(h *host) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p, err := newProxy(l.Addr().String())
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.incarnations++
	in := incarnation{id: fmt.Sprintf("i-%d", e.incarnations), proxy: p}
	in.target = standin.NewTarget(in.id, service, e.recorder.addRun)
	in.server = startServer(l, in.target)
	if e.options.FatalRequests {
		e.crashOnFatal(h, in)
	}
	h.current = in
	e.mu.Unlock()
	return e.writeEntry(h, in, "ready")
}

// list writes a target's entry.
func (e *environment) writeEntry(h *host, in incarnation, state string) error {
	e.mu.Lock()
	if h.current.id == in.id {
		h.entryState = state
	}
	e.mu.Unlock()
	_, err := e.store.Put("servers", in.id, in.entry(h, state))
	return err
}

func (in incarnation) entry(h *host, state string) map[string]any {
	return in.target.Object(in.proxy.address(), h.hall, state)
}

// end closes what the incarnation listens at.
func (in incarnation) close() {
	in.proxy.close()
	_ = in.server.Close() // it is gone either way
}

// replace puts a new incarnation in the place of one that has left.
func (e *environment) replaceTarget(h *host, in incarnation) error {
	e.store.Remove("servers", in.id)
	in.close()
	return e.startTarget(h)
}

// configure writes the next configuration: each version adds a route of its own.
func (e *environment) writeNextConfiguration() error {
	e.configMu.Lock()
	defer e.configMu.Unlock()
	e.mu.Lock()
	e.configVersion++
	version := e.configVersion
	e.mu.Unlock()
	if err := e.writeConfiguration(version); err != nil {
		return err
	}
	e.recorder.markConfigStored(version)
	return nil
}

// put writes the configuration of the version.
func (e *environment) writeConfiguration(version int) error {
	_, err := e.store.Put("config", "main", e.configuration(version))
	return err
}

func (e *environment) configuration(version int) map[string]any {
	return standin.Configuration(version, service, e.apiKeys())
}

func (e *environment) apiKeys() map[string]string {
	keys := map[string]string{}
	for _, o := range e.organisations {
		keys[o.name] = o.key
	}
	return keys
}

func (e *environment) newestVersion() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.configVersion
}

// end stops everything that the run started.
func (e *environment) close() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	for _, b := range e.boxes {
		b.kill()
		b.storeProxy.close()
	}
	for _, h := range e.hosts {
		h.current.close()
	}
	_ = e.storeServer.Close() // the run is over
}
