package mesh

import (
	"context"
	"net"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcserver"

	"clovertrail.dev/mapswitch/orders"
)

// Method names a call.
type Method string

// Mux finds the handler of a call. Register all handlers before serving.
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

// Codes of errors that the caller distinguishes.
const (
	unknownMethod = 1 // the call has no handler here
	unknownBase   = 2 // a map was told from one that is not known here
)

// UnknownBase is the error for a map that is sent as changes of one that is not known here.
func UnknownBase(base orders.Version) error {
	return drpcerr.WithCode(drpc.Error.New("the map %d, from which another is told, is not known here", base), unknownBase)
}

// IsUnknownBase reports that the other process lacks the map of which changes were sent.
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
