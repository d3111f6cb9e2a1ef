package gateway

import "net/http"

// abort ends the connection of a response that has begun and is not complete. It does not return.
//
// A response to a caller that speaks HTTP/1.0 has neither chunks nor, if it is a stream, a length. Its connection is reset, since an
// ordinary close would be its end.
func abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		resetConnection(w)
	}
	panic(http.ErrAbortHandler) // closes the connection without the end of the response
}

// resetConnection closes the connection with a reset. If that is not possible, it does nothing.
func resetConnection(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed
	}
	if l, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = l.SetLinger(0) // fails only if the connection is closed
	}
	_ = c.Close() // the connection is not used again
}
