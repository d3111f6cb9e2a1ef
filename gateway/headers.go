package gateway

import (
	"net/http"
	"strings"
)

// connectionHeaders concern one connection and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// passedOn copies headers without those of one connection.
func passedOn(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// answerHeaders copies the headers of a target's answer to the caller's.
func answerHeaders(to, from http.Header) {
	closing := to.Get("Connection")
	for name, values := range passedOn(from) {
		to[name] = values
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
}
