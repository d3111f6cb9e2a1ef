package gateway

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop headers and without those
// that the Connection header lists.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// copyResponseHeaders copies the headers of a target's response to the caller's response. A
// Connection header of the caller's response is kept.
func copyResponseHeaders(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range endToEndHeaders(from) {
		to[name] = values
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
}
