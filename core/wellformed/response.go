package wellformed

import (
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("malformed response")

// The statuses that HTTP has (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// Response returns an error of class Error unless the head of the response, which may be an interim one, is well-formed and answers
// a request that does not ask for another protocol.
func Response(r *http.Response) error {
	switch {
	case r.Proto != "" && !strings.HasPrefix(r.Proto, "HTTP/1."):
		return Error.New("version %s on a connection of HTTP/1.1", r.Proto)
	case r.StatusCode < minStatus || r.StatusCode > maxStatus:
		return Error.New("status %03d", r.StatusCode)
	case r.StatusCode == http.StatusSwitchingProtocols:
		return Error.New("status %d without a request for another protocol", r.StatusCode)
	case strings.ContainsFunc(r.Status, isControl):
		return Error.New("status line with a control character: %.80q", r.Status)
	default:
		return Fields(r.Header)
	}
}

// Fields returns an error of class Error if the name of a field is not a token (RFC 9110, section 5.1).
func Fields(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, isNoTokenCharacter) {
			return Error.New("name of a field: %.80q", name)
		}
	}
	return nil
}

func isControl(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' }

func isNoTokenCharacter(c rune) bool {
	letterOrDigit := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
	return !letterOrDigit && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
