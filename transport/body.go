package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"

	"clovertrail.dev/core/wellformed"
)

// EndsWithConnection reports whether the body of the response has neither a length nor chunks, so that only the end of the
// connection shows its end.
func EndsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
}

// trackedBody is the body of a response. It records that the body was read to its end, and checks the trailers there.
type trackedBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read implements io.Reader. It does not return io.EOF at the end of a connection that was lost.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if lost := b.exchange.lost; lost != nil && EndsWithConnection(b.exchange.response) {
		return n, fmt.Errorf("the connection was lost while the request was sent, and the response may be truncated: %w", lost)
	}
	if malformed := wellformed.Fields(b.exchange.response.Trailer); malformed != nil {
		return n, malformed
	}
	b.exchange.complete = true
	return n, err
}

// Close does nothing, since Exchange.Close releases the connection. The Close method of a net/http body
// would first read the rest of the body, which may take long on a stream.
func (b *trackedBody) Close() error { return nil }

// lostConnection reports whether the error of a write shows that the connection was reset or timed out. The kernel reports that once:
// after it, reads return what was received before, and then an ordinary end.
//
// It reports EPIPE instead if the target had ended its side of the connection before, so that all it sent was received.
func lostConnection(err error) bool { return err != nil && !errors.Is(err, syscall.EPIPE) }
