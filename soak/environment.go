package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
	"clovertrail.dev/soak/faultproxy"
)

// Options configures a run.
type Options struct {
	// Program is the path of the built clovertrail-node.
	Program string
	// Seed is the seed of all random draws of the run.
	Seed uint64
	// Duration is the length of the run, including the fault-free part at its end. A run whose last action ends late is longer.
	Duration time.Duration
	// Boxes, Targets and Callers are the numbers of each; 0 selects the default.
	Boxes, Targets, Callers int
	// Dir is the directory to which the settings and logs of the boxes are written.
	Dir string
	// FatalRequests adds a caller whose request crashes each target that runs it. It does not change
	// the other random draws of the seed.
	FatalRequests bool
	// TargetRequests makes targets request rest, and report in their responses that they are leaving.
	// It does not change the other random draws of the seed.
	TargetRequests bool
	// TargetLimits makes targets state request limits in their responses. It does not change the other
	// random draws of the seed.
	TargetLimits bool
	// Restores makes the store be restored from older backups. It does not change the other random
	// draws of the seed.
	Restores bool
	// Evacuations makes the operator evacuate halls. It does not change the other random draws of the
	// seed.
	Evacuations bool
	// Outages adds a group that loses a rank for seconds, again and again, with callers who return once
	// when they are refused. It does not change the other random draws of the seed.
	Outages bool
	// UnframedPercent is the percentage of responses of the group that have neither a length nor chunks and end with their
	// connections. With it the group is also cut off, and not only loses a rank. It does not change the other random
	// draws of the seed.
	UnframedPercent int
	// Pauses pauses boxes while the group of Outages stands still. It does not change the other random draws of the seed.
	Pauses bool
	// Series sends boxes signals, stops and changes in series, which overlap, and adds a caller for each box
	// that keeps its connection open. It does not change the other random draws of the seed.
	Series bool
	// FatalPrompts adds callers of prompts, some of which share a part that crashes the targets that begin to
	// respond to it. It does not change the other random draws of the seed.
	FatalPrompts bool
	// TargetCrashes adds targets that are processes of their own, and kills them while they send responses that end with their
	// connections. TargetProgram is the path of the built clovertrail-soak, and Connections the number of connections
	// besides to each of them; 0 draws it.
	TargetCrashes bool
	TargetProgram string
	Connections   int
	// Resumes adds callers that resume streams at another box, targets for them that are processes of their own, of which several are
	// killed at once, beside boxes, and a group with slow ranks. It does not change the other random draws of the seed.
	Resumes bool
	// LateRequests makes planned stops, which overlap, and adds callers who send streams on connections that they keep
	// until the box closes them.
	LateRequests bool
	// Skews has a balancer choose the boxes of callers, which at times hands most new connections of a hall, or of
	// all halls, to one box.
	Skews bool
	// EndlessResponses makes targets send heads, bodies and events without end. It does not change the other random draws of
	// the seed.
	EndlessResponses bool
}

// Default sizes of a run: few processes, so that many runs fit on one machine.
const (
	defaultBoxes   = 4
	defaultTargets = 6
	defaultCallers = 12
)

// hasGroup reports whether the run has a group.
func (o Options) hasGroup() bool { return o.Outages || o.Resumes }

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

// host runs a target. When a target has left or crashed, a new incarnation replaces it.
type host struct {
	hall string
	// lifecycle is locked while the target leaves or is down.
	lifecycle sync.Mutex
	current   incarnation
	// entryState is the state that the target last wrote to its entry in the store.
	entryState string
}

// incarnation is one incarnation of a target: its server, and the proxy in front of it.
type incarnation struct {
	id     string
	target *standin.Target
	server *http.Server
	proxy  *faultproxy.Proxy
}

// organisation is a tenant with its API key.
type organisation struct{ name, key string }

// environment holds everything that a run starts: the store, the targets and the boxes.
type environment struct {
	options     Options
	recorder    *recorder
	store       *standin.Store
	storeServer *http.Server
	boxes       []*box
	balancer    *balancer
	agents      []*box         // of the ranks of the group
	group       *standin.Group // nil if the run has none
	rankServers []*http.Server
	lateServers []*http.Server // of the targets of lateService
	// resumeTargets are the targets of resumeService; only their actor changes them.
	resumeTargets []*targetProcess

	// configMu serialises writes of the configuration. Lock order: configMu, then mu.
	configMu sync.Mutex

	mu            sync.Mutex
	hosts         []*host
	incarnations  int
	configVersion int
	stopped       bool
	evacuated     string // the hall that the operator has evacuated; empty for none
	organisations []organisation
	entries       map[string]map[string]any // of targets that no host runs, but for the ranks of the group
}

// service is the name of the only service in the configuration.
const service = "app"

// newEnvironment starts the store, the targets and the boxes.
func newEnvironment(o Options) (*environment, error) {
	e := &environment{options: o, recorder: newRecorder(prioritiesOf(o.Seed)), store: standin.NewStore(), entries: map[string]map[string]any{}}
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
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return nil, err
	}
	if o.hasGroup() {
		if err := e.startGroup(); err != nil {
			return e, err
		}
	}
	if o.LateRequests {
		if err := e.startLateTargets(); err != nil {
			return e, err
		}
	}
	if err := e.writeNextConfiguration(); err != nil {
		return e, err
	}
	if err := e.startBoxes(l.Addr().String()); err != nil {
		return e, err
	}
	e.balancer = newBalancer(e.boxes)
	return e, nil
}

func startServer(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }() // returns when the run closes the server
	return s
}

func hallName(n int) string { return fmt.Sprintf("hall-%d", n%2) }

func (e *environment) startBoxes(store string) error {
	addresses, err := freeAddresses(e.options.Seed, 4*e.options.Boxes)
	if err != nil {
		return err
	}
	for n := range e.options.Boxes {
		p, err := faultproxy.New(store)
		if err != nil {
			return err
		}
		boxAddresses := addresses[4*n : 4*n+4]
		b, err := newBox(e, fmt.Sprintf("box-%d", n), hallName(n), boxAddresses, []string{addresses[3], addresses[7%len(addresses)]}, p)
		if err != nil {
			return err
		}
		e.boxes = append(e.boxes, b)
		if err := b.start(); err != nil {
			return fmt.Errorf("start of %s: %w", b.name, err)
		}
	}
	return nil
}

// addHost adds a host in hall n modulo the number of halls, and starts its first target.
func (e *environment) addHost(n int) error {
	h := &host{hall: hallName(n)}
	e.mu.Lock()
	e.hosts = append(e.hosts, h)
	e.mu.Unlock()
	return e.startTarget(h)
}

// startTarget starts the next incarnation on the host, and writes its entry to the store.
func (e *environment) startTarget(h *host) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p, err := faultproxy.New(l.Addr().String())
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.incarnations++
	in := incarnation{id: fmt.Sprintf("i-%d", e.incarnations), proxy: p}
	in.target = standin.NewTarget(in.id, service, e.recorder.addRun)
	in.server = startServer(l, in.target)
	if e.options.FatalRequests || e.options.FatalPrompts {
		e.crashOnFatal(h, in)
	}
	h.current = in
	e.mu.Unlock()
	e.recorder.markHall(in.id, h.hall)
	return e.writeEntry(h, in, "ready")
}

// writeEntry writes the target's entry to the store.
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
	return in.target.Object(in.proxy.Address(), h.hall, state)
}

// close closes the listeners of the incarnation.
func (in incarnation) close() {
	in.proxy.Close()
	_ = in.server.Close() // the server is discarded even if this fails
}

// replaceTarget removes an incarnation that has left or crashed, and starts a new one on its host.
func (e *environment) replaceTarget(h *host, in incarnation) error {
	e.store.Remove("servers", in.id)
	in.close()
	return e.startTarget(h)
}

// writeNextConfiguration writes the next version of the configuration to the store. Each version
// adds a route of its own.
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

// writeConfiguration writes the given version of the configuration to the store.
func (e *environment) writeConfiguration(version int) error {
	_, err := e.store.Put("config", "main", e.configuration(version))
	return err
}

func (e *environment) configuration(version int) map[string]any {
	document := standin.Configuration(version, service, e.keysByOrganisation())
	if e.options.hasGroup() {
		standin.AddGroup(document, groupService, groupShape)
		standin.SetTimeout(document, groupService, groupTimeout)
	}
	if e.options.TargetCrashes {
		standin.AddService(document, crashService, 2*callerTimeout)
	}
	if e.options.Resumes {
		standin.AddResumableService(document, resumeService, 2*callerTimeout, resumeAttempts)
	}
	if e.options.LateRequests {
		standin.AddService(document, lateService, lateTimeout)
	}
	p := e.recorder.priorities
	standin.SetPriorities(document, p.routes, p.organisations)
	return document
}

func (e *environment) keysByOrganisation() map[string]string {
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

// close stops everything that the run started.
func (e *environment) close() {
	e.mu.Lock()
	e.stopped = true
	e.mu.Unlock()
	for _, b := range e.boxes {
		b.kill()
		b.storeProxy.Close()
	}
	for _, a := range e.agents {
		a.kill()
	}
	for _, s := range append(e.rankServers, e.lateServers...) {
		_ = s.Close() // the server is discarded even if this fails
	}
	for _, p := range e.resumeTargets {
		if p != nil {
			p.kill()
			p.closeProxy()
		}
	}
	for _, h := range e.hosts {
		h.current.close()
	}
	_ = e.storeServer.Close() // the run has ended, so an error has no consequence
}
