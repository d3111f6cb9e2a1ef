package mesh

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcserver"

	"clovertrail.dev/mapswitch/orders"
)

// Method is the path of a call.
type Method string

// Mux routes calls to handlers. All handlers must be registered before it serves.
type Mux struct {
	handlers map[string]func(drpc.Stream) error
}

// NewMux returns a mux without handlers.
func NewMux() *Mux { return &Mux{handlers: map[string]func(drpc.Stream) error{}} }

// Handle registers the handler of a call.
func Handle[In, Out any](m *Mux, name Method, h func(context.Context, *In) (*Out, error)) {
	m.handlers[string(name)] = func(s drpc.Stream) error {
		in := new(In)
		if err := s.MsgRecv(in, encoding{}); err != nil {
			return err
		}
		out, err := h(s.Context(), in)
		if err != nil {
			return err
		}
		return s.MsgSend(out, encoding{})
	}
}

// Codes of errors that callers distinguish.
const (
	unknownMethod = 1 // no handler is registered for the call
	unknownBase   = 2 // the receiver lacks the base map of the sent changes
)

// UnknownBase returns the error of a receiver that lacks the base map of the sent changes.
func UnknownBase(base orders.Version) error {
	return drpcerr.WithCode(drpc.Error.New("changes of map %d received without having that map", base), unknownBase)
}

// IsUnknownBase reports whether the receiver lacked the base map of the sent changes.
func IsUnknownBase(err error) bool { return drpcerr.Code(err) == unknownBase }

// HandleRPC implements drpc.Handler.
func (m *Mux) HandleRPC(s drpc.Stream, rpc string) error {
	h, ok := m.handlers[rpc]
	if !ok {
		return drpcerr.WithCode(drpc.ProtocolError.New("no handler for %q", rpc), unknownMethod)
	}
	return h(s)
}

// Serve serves calls on the listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, m *Mux) error {
	return drpcserver.New(m).Serve(ctx, l)
}
