package local

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc/test/bufconn"

	"clovertrail.dev/core/domain"
)

// Link is what a pair of data halls can do to each other's traffic.
type Link int

// The states of a link.
const (
	// Open passes everything.
	Open Link = iota
	// Refused closes connections and refuses new ones.
	Refused
	// Silent holds everything back until the link is open again.
	Silent
	// Slow holds every piece back for a while.
	Slow
)

const (
	// slowness is how long a Slow link holds a piece back.
	slowness = 100 * time.Millisecond
	// connectFor is how long a connection over a Silent link is tried, as node's are.
	connectFor = 300 * time.Millisecond
	// pipeBytes is what a connection in memory takes before its writer waits.
	pipeBytes = 64 << 10
)

// Network connects the processes of a System.
//
// Lock order: Network.mu, then conn.mu.
type Network struct {
	memory bool

	mu        sync.Mutex
	listeners map[string]*listener
	links     map[[2]domain.HallName]Link
	conns     map[*conn]bool
	addresses int
}

// listener is one of a host.
type listener struct {
	net.Listener
	host *Host
	dial func(context.Context) (net.Conn, error)
}

// NewNetwork returns a network; memory keeps it off the machine's sockets.
func NewNetwork(memory bool) *Network {
	return &Network{
		memory: memory, listeners: map[string]*listener{}, links: map[[2]domain.HallName]Link{}, conns: map[*conn]bool{},
	}
}

// ip gives an address that no other host of the network has. On loopback it is of this
// process alone.
func (n *Network) ip() string {
	const octet = 250
	n.mu.Lock()
	defer n.mu.Unlock()
	n.addresses++
	if n.memory {
		return fmt.Sprintf("10.0.%d.%d", n.addresses/octet, 1+n.addresses%octet)
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octet%octet, 1+pid%octet, 1+n.addresses)
}

// Host is a process's end of the network. It implements node.Network.
type Host struct {
	network *Network
	hall    domain.HallName
	dead    bool // guarded by network.mu
}

// NewHost returns the end of a process in the data hall.
func (n *Network) NewHost(hall domain.HallName) *Host { return &Host{network: n, hall: hall} }

// Listen implements node.Network.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	l := &listener{host: h}
	if n.memory {
		b := bufconn.Listen(pipeBytes)
		l.Listener, l.dial = b, b.DialContext
	} else {
		real, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		l.Listener, l.dial = real, func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l, nil
}

// Dial implements node.Network.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	l, link, err := h.way(address)
	if err != nil {
		return nil, err
	}
	if link == Silent {
		return nil, h.hang(ctx, address)
	}
	raw, err := l.dial(ctx)
	if err != nil {
		return nil, refused(address)
	}
	n := h.network
	c := newConn(raw, h, l.host, link)
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.dead || l.host.dead {
		_ = raw.Close() // it was killed in the meantime
		return nil, refused(address)
	}
	n.conns[c] = true
	return c, nil
}

// way finds who listens at the address and the link there.
func (h *Host) way(address string) (*listener, Link, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || h.dead || l.host.dead {
		return nil, Refused, refused(address)
	}
	link := n.links[pairOf(h.hall, l.host.hall)]
	if link == Refused {
		return nil, link, refused(address)
	}
	return l, link, nil
}

// hang waits as for a host that reports nothing.
func (h *Host) hang(ctx context.Context, address string) error {
	wait := time.NewTimer(connectFor)
	defer wait.Stop()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", address, os.ErrDeadlineExceeded)}
}

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
}

// Kill cuts the host from the network for good.
func (h *Host) Kill() {
	n := h.network
	n.mu.Lock()
	h.dead = true
	var ends []interface{ Close() error }
	for address, l := range n.listeners {
		if l.host == h {
			delete(n.listeners, address)
			ends = append(ends, l)
		}
	}
	for c := range n.conns {
		if c.from == h || c.to == h {
			ends = append(ends, c)
		}
	}
	n.mu.Unlock()
	for _, e := range ends {
		_ = e.Close() // it may be closed already
	}
}

func (n *Network) drop(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func pairOf(a, b domain.HallName) [2]domain.HallName {
	if b < a {
		a, b = b, a
	}
	return [2]domain.HallName{a, b}
}

// SetLink sets the state of the link between two data halls.
func (n *Network) SetLink(a, b domain.HallName, l Link) {
	pair := pairOf(a, b)
	n.mu.Lock()
	n.links[pair] = l
	var affected []*conn
	for c := range n.conns {
		if pairOf(c.from.hall, c.to.hall) == pair {
			affected = append(affected, c)
		}
	}
	n.mu.Unlock()
	for _, c := range affected {
		c.set(l)
	}
}

// openAll opens every link, so that nothing hangs on one.
func (n *Network) openAll() {
	n.mu.Lock()
	pairs := make([][2]domain.HallName, 0, len(n.links))
	for p := range n.links {
		pairs = append(pairs, p)
	}
	n.mu.Unlock()
	for _, p := range pairs {
		n.SetLink(p[0], p[1], Open)
	}
}

// closeAll closes what is still open.
func (n *Network) closeAll() {
	n.mu.Lock()
	hosts := map[*Host]bool{}
	for _, l := range n.listeners {
		hosts[l.host] = true
	}
	for c := range n.conns {
		hosts[c.from] = true
	}
	n.mu.Unlock()
	for h := range hosts {
		h.Kill()
	}
}
