package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"clovertrail.dev/transport"
)

const (
	// connectTimeout bounds the opening of a connection. It is a hundred times the latency between
	// data halls of one region, and less than the time after which TCP first repeats a lost SYN
	// packet: by then another target is the better choice.
	connectTimeout = 300 * time.Millisecond
	// deadPeerTimeout is how long a peer may leave bytes unacknowledged: less than the two seconds
	// after which callers give up a stream without data.
	deadPeerTimeout = 1500 * time.Millisecond
	// maxHeadBytes limits the head of a response, as package transport does for those of targets. The default of net/http is 10 MB,
	// and a box makes a call to each of many engines at once.
	maxHeadBytes = 64 << 10
)

// Network listens for connections and opens them. Tests replace it with a simulated network.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// machineNetwork is the TCP network of the machine.
type machineNetwork struct{ dial transport.Dialer }

// MachineNetwork returns the TCP network of the machine, with the timeouts of connections to targets,
// the store and other boxes.
func MachineNetwork() Network {
	return machineNetwork{dial: transport.Dial(transport.Timeouts{Connect: connectTimeout, DeadPeer: deadPeerTimeout})}
}

// Listen implements Network. A planned stop attaches a filter to the socket, which sockets of Multipath TCP, the default of package
// net, do not have.
func (machineNetwork) Listen(address string) (net.Listener, error) {
	var c net.ListenConfig
	c.SetMultipathTCP(false)
	return c.Listen(context.Background(), "tcp", address)
}

// Dial implements Network.
func (n machineNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.dial(ctx, address)
}

// HTTPClient returns a client for calls to the store and to engines. It uses one connection for each
// concurrent call.
func HTTPClient(n Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}
