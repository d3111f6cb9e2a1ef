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

// Link is the state of the link between two data halls.
type Link int

// The states of a link.
const (
	// Open delivers all traffic without delay.
	Open Link = iota
	// Refused closes connections and refuses new ones.
	Refused
	// Silent holds all traffic back until the link is open again, and lets new connections
	// time out.
	Silent
	// Slow delays every read by slowDelay.
	Slow
)

const (
	// slowDelay is how long a Slow link delays each read.
	slowDelay = 100 * time.Millisecond
	// dialTimeout limits a dial over a Silent link; package node uses the same limit.
	dialTimeout = 300 * time.Millisecond
	// pipeBufferBytes is the buffer of a connection in memory; its writer blocks while it is full.
	pipeBufferBytes = 64 << 10
)

// Network connects the processes of a System.
//
// Lock order: Network.mu is locked before conn.mu.
type Network struct {
	memory bool

	mu        sync.Mutex
	listeners map[string]*listener
	links     map[[2]domain.HallName]Link
	conns     map[*conn]bool
	allocated int
}

// listener is a listening socket of a host.
type listener struct {
	net.Listener
	host *Host
	dial func(context.Context) (net.Conn, error)
}

// NewNetwork returns a network. With memory it opens no sockets of the machine.
func NewNetwork(memory bool) *Network {
	return &Network{
		memory: memory, listeners: map[string]*listener{}, links: map[[2]domain.HallName]Link{}, conns: map[*conn]bool{},
	}
}

// allocateIP returns an address that no other host of the network has. On loopback the address
// is derived from the process ID, so that systems in other processes do not use it.
func (n *Network) allocateIP() string {
	const octet = 250
	n.mu.Lock()
	defer n.mu.Unlock()
	n.allocated++
	if n.memory {
		return fmt.Sprintf("10.0.%d.%d", n.allocated/octet, 1+n.allocated%octet)
	}
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/octet%octet, 1+pid%octet, 1+n.allocated)
}

// Host connects one process to the network. It implements node.Network.
type Host struct {
	network *Network
	hall    domain.HallName
	dead    bool // guarded by network.mu
}

// NewHost returns a host for a process in the data hall.
func (n *Network) NewHost(hall domain.HallName) *Host { return &Host{network: n, hall: hall} }

// Listen implements node.Network.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	l := &listener{host: h}
	if n.memory {
		b := bufconn.Listen(pipeBufferBytes)
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
	l, link, err := h.lookup(address)
	if err != nil {
		return nil, err
	}
	if link == Silent {
		return nil, h.waitForTimeout(ctx, address)
	}
	raw, err := l.dial(ctx)
	if err != nil {
		return nil, connectionRefused(address)
	}
	n := h.network
	c := newConn(raw, h, l.host, link)
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.dead || l.host.dead {
		_ = raw.Close() // one of the processes was killed during the dial
		return nil, connectionRefused(address)
	}
	n.conns[c] = true
	return c, nil
}

// lookup returns the listener at the address and the state of the link to its hall.
func (h *Host) lookup(address string) (*listener, Link, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || h.dead || l.host.dead {
		return nil, Refused, connectionRefused(address)
	}
	link := n.links[pairOf(h.hall, l.host.hall)]
	if link == Refused {
		return nil, link, connectionRefused(address)
	}
	return l, link, nil
}

// waitForTimeout fails as a dial to a host that does not respond: after dialTimeout, or when ctx
// ends.
func (h *Host) waitForTimeout(ctx context.Context, address string) error {
	wait := time.NewTimer(dialTimeout)
	defer wait.Stop()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", address, os.ErrDeadlineExceeded)}
}

func connectionRefused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
}

// Kill closes the listeners and connections of the host and cuts it from the network for good.
func (h *Host) Kill() { h.close(true) }

// exit closes the listeners of the host and its ends of the connections, and cuts it from the network for good. Others still read what
// it sent.
func (h *Host) exit() { h.close(false) }

// close closes the sockets of the host, and the other ends of its connections if otherEnds is set.
func (h *Host) close(otherEnds bool) {
	n := h.network
	n.mu.Lock()
	h.dead = true
	var closers []interface{ Close() error }
	for address, l := range n.listeners {
		if l.host == h {
			delete(n.listeners, address)
			closers = append(closers, l)
		}
	}
	for c := range n.conns {
		if c.from == h || otherEnds && c.to == h {
			closers = append(closers, c)
		}
	}
	n.mu.Unlock()
	for _, c := range closers {
		_ = c.Close() // it may be closed already
	}
}

func (n *Network) forget(c *conn) {
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
		c.setLink(l)
	}
}

// openAll opens every link, so that no process waits on one while the system closes.
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

// closeAll kills every host that has a listener, or has dialled a connection.
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
