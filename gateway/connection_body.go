package gateway

import (
	"errors"
	"io"
	"net/http"
)

// endsWithConnection reports whether the body of the response has neither a length nor chunks, so that only the end of the
// connection shows its end.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// connectionBody is the body of a response that ends with its connection. The connection of a target whose process ended closes
// in the same way, so that the response is truncated unless the target is alive afterwards.
type connectionBody struct {
	io.ReadCloser
	alive func() bool
}

// Read implements io.Reader.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.alive() {
		return n, errTruncated
	}
	return n, err
}
