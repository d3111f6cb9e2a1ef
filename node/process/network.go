package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"clovertrail.dev/transport"
)

// The times of connections.
const (
	// connectWithin bounds the opening of a connection: a hundred times the way
	// between data halls of one region, and less than the first repetition of a lost
	// opening packet, after which another target is the better choice.
	connectWithin = 300 * time.Millisecond
	// unheardFor is how long a peer may leave bytes unacknowledged: under the two
	// seconds after which callers give up a silent stream.
	unheardFor = 1500 * time.Millisecond
)

// Network is what a process reaches others through and is reached at.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string) (net.Conn, error)
}

// machineNetwork is TCP on the machine that the process runs on.
type machineNetwork struct{ dial transport.Dialer }

// MachineNetwork returns TCP on this machine, with the time-outs of connections to
// targets, the store and other boxes.
func MachineNetwork() Network {
	return machineNetwork{dial: transport.Dial(transport.Timeouts{Connect: connectWithin, DeadPeer: unheardFor})}
}

// Listen implements Network.
func (machineNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (n machineNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return n.dial(ctx, address)
}

// HTTPClient calls the store and engines. It keeps a connection for each of the
// waiting calls.
func HTTPClient(n Network) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		DisableCompression: true,
	}}
}
