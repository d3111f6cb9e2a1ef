package transport

import "strings"

// transferEncoding is the beginning of a line with that field, in lower case.
const transferEncoding = "transfer-encoding:"

// encodingScanner looks for a field Transfer-Encoding in the bytes of a head. net/http ignores it in a response of HTTP/1.0, and keeps no
// trace of it.
type encodingScanner struct {
	line  [len(transferEncoding)]byte // beginning of the current line
	n     int                         // bytes of it
	ended bool                        // the empty line behind the head has been read
	found bool
}

// scan takes the next bytes of the head, and of what follows it.
func (s *encodingScanner) scan(b []byte) {
	for _, c := range b {
		switch {
		case s.ended:
			return
		case c == '\n':
			line := string(s.line[:s.n])
			s.ended = line == "" || line == "\r"
			s.found = s.found || strings.EqualFold(line, transferEncoding)
			s.n = 0
		case s.n < len(s.line):
			s.line[s.n] = c
			s.n++
		}
	}
}
