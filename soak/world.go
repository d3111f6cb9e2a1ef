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
	usualBoxes   = 4
	usualTargets = 6
	usualCallers = 12
)

func (o Options) withDefaults() Options {
	if o.Boxes == 0 {
		o.Boxes = usualBoxes
	}
	if o.Targets == 0 {
		o.Targets = usualTargets
	}
	if o.Callers == 0 {
		o.Callers = usualCallers
	}
	return o
}

// host is a place for a target, one incarnation after the other.
type host struct {
	hall  string
	busy  sync.Mutex // while its target leaves or is down
	now   incarnation
	state string // as its target last wrote it
}

// incarnation is one life of a target, with the link before it.
type incarnation struct {
	id     string
	target *standin.Target
	server *http.Server
	link   *link
}

// organisation holds a key.
type organisation struct{ name, key string }

// world is all that a run has.
type world struct {
	options Options
	ledger  *ledger
	store   *standin.Store
	server  *http.Server
	boxes   []*box

	configuring sync.Mutex // taken before mu

	mu            sync.Mutex
	hosts         []*host
	incarnations  int
	version       int // of the configuration
	over          bool
	organisations []organisation
}

// service is what there is to be routed to.
const service = "app"

// newWorld starts all of it.
func newWorld(o Options) (*world, error) {
	w := &world{options: o, ledger: newLedger(), store: standin.NewStore()}
	for n := range 3 {
		w.organisations = append(w.organisations, organisation{name: fmt.Sprintf("org-%d", n), key: fmt.Sprintf("key-%d", n)})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.server = serve(l, w.store)
	for n := range o.Targets {
		if err := w.addHost(n); err != nil {
			return nil, err
		}
	}
	if err := w.configure(); err != nil {
		return nil, err
	}
	return w, w.startBoxes(l.Addr().String())
}

func serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }() // it ends when the run closes it
	return s
}

func hall(n int) string { return fmt.Sprintf("hall-%d", n%2) }

func (w *world) startBoxes(store string) error {
	if err := os.MkdirAll(w.options.Dir, 0o700); err != nil {
		return err
	}
	ports, err := freePorts(w.options.Seed, 4*w.options.Boxes)
	if err != nil {
		return err
	}
	for n := range w.options.Boxes {
		k, err := newLink(store)
		if err != nil {
			return err
		}
		own := ports[4*n : 4*n+4]
		b, err := newBox(w.options.Dir, w.options.Program, fmt.Sprintf("box-%d", n), hall(n), own, []string{ports[3], ports[7%len(ports)]}, k)
		if err != nil {
			return err
		}
		w.boxes = append(w.boxes, b)
		if err := b.start(); err != nil {
			return err
		}
	}
	return nil
}

// addHost starts a target.
func (w *world) addHost(n int) error {
	h := &host{hall: hall(n)}
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return w.begin(h)
}

// begin starts the next incarnation at the host.
func (w *world) begin(h *host) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k, err := newLink(l.Addr().String())
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.incarnations++
	in := incarnation{id: fmt.Sprintf("i-%d", w.incarnations), link: k}
	in.target = standin.NewTarget(in.id, service, w.ledger.ran)
	in.server = serve(l, in.target)
	if w.options.FatalRequests {
		w.crashes(h, in)
	}
	h.now = in
	w.mu.Unlock()
	return w.list(h, in, "ready")
}

// list writes a target's entry.
func (w *world) list(h *host, in incarnation, state string) error {
	w.mu.Lock()
	if h.now.id == in.id {
		h.state = state
	}
	w.mu.Unlock()
	_, err := w.store.Put("servers", in.id, in.entry(h, state))
	return err
}

func (in incarnation) entry(h *host, state string) map[string]any {
	return in.target.Object(in.link.address(), h.hall, state)
}

// end closes what the incarnation listens at.
func (in incarnation) end() {
	in.link.close()
	_ = in.server.Close() // it is gone either way
}

// replace puts a new incarnation in the place of one that has left.
func (w *world) replace(h *host, in incarnation) error {
	w.store.Remove("servers", in.id)
	in.end()
	return w.begin(h)
}

// configure writes the next configuration: each version adds a route of its own.
func (w *world) configure() error {
	w.configuring.Lock()
	defer w.configuring.Unlock()
	w.mu.Lock()
	w.version++
	version := w.version
	w.mu.Unlock()
	if err := w.put(version); err != nil {
		return err
	}
	w.ledger.configured(version)
	return nil
}

// put writes the configuration of the version.
func (w *world) put(version int) error {
	_, err := w.store.Put("config", "main", w.document(version))
	return err
}

func (w *world) document(version int) map[string]any {
	return standin.Configuration(version, service, w.keys())
}

func (w *world) keys() map[string]string {
	keys := map[string]string{}
	for _, o := range w.organisations {
		keys[o.name] = o.key
	}
	return keys
}

func (w *world) newest() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// end stops everything that the run started.
func (w *world) end() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	for _, b := range w.boxes {
		b.end()
		b.store.close()
	}
	for _, h := range w.hosts {
		h.now.end()
	}
	_ = w.server.Close() // the run is over
}
