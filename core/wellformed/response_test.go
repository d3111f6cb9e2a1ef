package wellformed_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"clovertrail.dev/core/wellformed"
)

// TestResponse guards against a malformed response that counts as one, and against a sound one that does not.
func TestResponse(t *testing.T) {
	for _, tc := range []struct {
		head string // without the end of the last line
		ok   bool
	}{
		{"HTTP/1.1 200 OK", true},
		{"HTTP/1.1 200", true},
		{"HTTP/1.1 200 ", true},
		{"HTTP/1.0 200 OK", true},
		{"HTTP/1.1 100 Continue", true},
		{"HTTP/1.1 103 Early Hints", true},
		{"HTTP/1.1 299 Other", true},
		{"HTTP/1.1 404 Not\tFound \xe9", true},
		{"HTTP/1.1 503 Busy", true},
		{"HTTP/1.1 599 Other", true},
		{"HTTP/1.1 000 OK", false},
		{"HTTP/1.1 099 OK", false},
		{"HTTP/1.1 +99 OK", false},
		{"HTTP/1.1 101 Switching Protocols", false},
		{"HTTP/1.1 600 OK", false},
		{"HTTP/1.1 999 OK", false},
		{"HTTP/1.1 200 O\x00K", false},
		{"HTTP/1.1 200 O\x7fK", false},
		{"HTTP/1.1 200 O\rK", false},
		{"HTTP/2.0 200 OK", false},
		{"HTTP/0.9 200 OK", false},
		{"HTTP/1.1 200 OK\r\nX-1.a!#$%&'*+^_`|~: \t a \x80\"(\t", true},
		{"HTTP/1.1 200 OK\r\nX:", true},
		{"HTTP/1.1 200 OK\r\nX: 1\r\n folded", true},
		{"HTTP/1.1 200 OK\r\nX Y: 1", false},
		{"HTTP/1.1 200 OK\r\nX : 1", false},
		{"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length : 5\r\nB: 2", false},
		{"HTTP/1.1 103 Early Hints\r\nX : 1", false},
	} {
		t.Run(fmt.Sprintf("%q", tc.head), func(t *testing.T) {
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tc.head+"\r\n\r\n")), nil)
			if err != nil {
				t.Fatalf("net/http rejects it: %v", err)
			}
			if err := wellformed.Response(r); (err == nil) != tc.ok || err != nil && !wellformed.Error.Has(err) {
				t.Errorf("got %v, want ok %v", err, tc.ok)
			}
		})
	}
}

// TestFields guards against names that a parser may let pass.
func TestFields(t *testing.T) {
	for _, name := range []string{"", " ", "X Y", "X ", "X\t", "X\x00", "X\x7f", "X\x80", "X\xff", "Ä", "X:", "X(", "X@", "X\r\nY"} {
		if err := wellformed.Fields(http.Header{"A": nil, name: {"1"}}); err == nil {
			t.Errorf("%q passes as a name", name)
		}
	}
	if err := wellformed.Fields(http.Header{"A": nil, "x_y-1.z": {"1"}}); err != nil {
		t.Error(err)
	}
}
