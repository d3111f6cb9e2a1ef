package gateway_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// checkMalformed checks that a response that is not well-formed does not reach callers, by any kind of route, and that another
// target serves the request where it may be repeated. A malformed response continues no stream.
func checkMalformed(t *testing.T, response string) {
	t.Helper()
	event := func(n int) string { return rawChunk(marked(fmt.Sprintf("id: %d\ndata: x\n\n", n))) }
	begun := streamHead + event(1) + hangUp
	whole := streamHead + event(1) + lastChunk
	const one = "id: 1\ndata: x\n\n"
	for _, tc := range []struct {
		path          string
		first, second string
		status        int
		body          string
		broken        bool
		verdicts      []string
	}{
		{"/once/", response, ok, 502, "", false, []string{"a bad"}},
		{"/repeat/", response, ok, 200, "hello", false, []string{"a bad", "b good"}},
		{"/stream-once/", response, whole, 502, "", false, []string{"a bad"}},
		{"/stream/", response, whole, 200, one, false, []string{"a bad", "b good"}},
		{"/stream/", begun, response, 200, one, true, []string{"a bad", "b bad"}},
	} {
		a, b := newTarget(t, "a", tc.first), newTarget(t, "b", tc.second)
		r := newFixture(t, a, b)
		got := r.request("POST", tc.path, "body", "Left: 5s")
		r.server.Close()
		signed := got.header.Get("Signed") != ""
		if got.status != tc.status || got.broken != tc.broken || signed != (tc.body != "") || signed && got.body != tc.body {
			t.Errorf("%s: status %d, broken %v, body %q", tc.path, got.status, got.broken, got.body)
		}
		if tc.status == 502 && got.header.Get("Retry-After") != "" {
			t.Errorf("%s: reported as not run, although it may have run", tc.path)
		}
		if !slices.Equal(r.fleet.verdicts, tc.verdicts) {
			t.Errorf("%s: verdicts %v, want %v", tc.path, r.fleet.verdicts, tc.verdicts)
		}
	}
}

// framings are what may follow the fields of a response.
var framings = map[string]string{
	"length":                   "Content-Length: 5\n\nhello",
	"chunks":                   "Transfer-Encoding: chunked\n\n5\nhello\n0\n\n",
	"ends with its connection": "\nhello" + hangUp,
	"no body":                  "Content-Length: 0\n\n",
	"a response behind it":     "\n" + ok,
	"a stream behind it":       "\n" + streamHead + rawChunk(marked("id: 1\ndata: wrong\n\n")) + lastChunk,
}

// TestInvalidStatusIsNoResponse guards against responses with a status that HTTP does not have, and against what follows them, which
// belongs to no request.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 099 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1  ", "HTTP/1.1",
		"HTTP/1.1 200 O" + "\x01" + "K", "HTTP/1.1 200 O" + "\x7f" + "K", "HTTP/1.1 200 O" + "\r" + "K",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "200 OK", "",
	} {
		for framing, rest := range framings {
			t.Run(fmt.Sprintf("%q, %s", line, framing), func(t *testing.T) {
				checkMalformed(t, line+"\nSigned: 1\nId: 1\n"+rest)
			})
		}
	}
}

// TestInvalidFieldNameIsNoResponse guards against responses with a field whose name HTTP does not allow. Such a field may be lost, and
// it may be the one that states the end of the body, or that the target did not run the request.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	const begin, interim = "HTTP/1.1 200 OK\nSigned: 1\nId: 1\n", "HTTP/1.1 103 Early Hints\n"
	for _, field := range []string{
		"X Y: 1", "X : 1", "Content-Length : 5", "Content-Length\t: 5", "Transfer-Encoding : chunked", "Not-Run : 1", "Leaving : 1", "X\x01Y: 1", "X\x7fY: 1", "X\x80Y: 1",
		"X\rY: 1", "X(Y: 1", "X\"Y: 1", ": 1", "no colon",
	} {
		for framing, rest := range framings {
			t.Run(fmt.Sprintf("%q, %s", field, framing), func(t *testing.T) {
				checkMalformed(t, begin+field+"\n"+rest)
				checkMalformed(t, strings.Replace(begin, "Signed", field+"\nSigned", 1)+rest)
			})
		}
		t.Run(fmt.Sprintf("%q, in an interim response", field), func(t *testing.T) {
			checkMalformed(t, interim+field+"\n\n"+ok)
		})
	}
}

// TestFaultyFramingIsNoResponse guards against bodies that are not those of the target, since its head does not say how they end.
func TestFaultyFramingIsNoResponse(t *testing.T) {
	const old, current, chunks = "HTTP/1.0 200 OK\nSigned: 1\nId: 1\n", "HTTP/1.1 200 OK\nSigned: 1\nId: 1\n", "\n5\nhello\n0\n\n" + hangUp
	for _, response := range []string{
		old + "Transfer-Encoding: chunked\n" + chunks,
		old + "transfer-encoding:chunked\n" + chunks,
		old + "Transfer-Encoding: chunked\nContent-Length: 5\n\nhello",
		"HTTP/1.0 200 OK\nTRANSFER-ENCODING:\n chunked\nSigned: 1\nId: 1\nLong: " + strings.Repeat("x", 5000) + "\n" + chunks,
		"HTTP/1.1 103 Early Hints\nX: 1\n\n" + old + "Transfer-Encoding: gzip\n" + chunks,
		current + "Transfer-Encoding: gzip, chunked\n" + chunks,
		current + "Transfer-Encoding: identity\n" + chunks,
		current + "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n" + chunks,
		current + "Content-Length: 5\nContent-Length: 6\n\nhello" + hangUp,
		current + "Content-Length: 5, 5\n\nhello" + hangUp,
		current + "Content-Length: +5\n\nhello" + hangUp,
		current + "Content-Length:\n\nhello" + hangUp,
	} {
		t.Run(fmt.Sprintf("%.110q", response), func(t *testing.T) { checkMalformed(t, response) })
	}
}

// TestFramingOfOldVersion guards against sound responses of HTTP/1.0 that are lost.
func TestFramingOfOldVersion(t *testing.T) {
	const old = "HTTP/1.0 200 OK\nSigned: 1\nId: 1\n"
	for _, response := range []string{
		old + "Content-Length: 5\n\nhello", old + "\nhello" + hangUp, old + "X-Transfer-Encoding: chunked\n\nhello" + hangUp, old + "X:\n transfer-encoding: x\n\nhello" + hangUp,
		"HTTP/1.0 200 OK\nSigned: 1\nId: 1\n\n" + "hello" + hangUp,
	} {
		got := newFixture(t, newTarget(t, "a", response)).request("POST", "/once/", "body")
		if got.status != 200 || got.broken || got.body != "hello" {
			t.Errorf("%q: status %d, broken %v, body %q", response, got.status, got.broken, got.body)
		}
	}
	body := "5\ntransfer-encoding: chunked\n\n"
	a := newTarget(t, "a", old+"\n"+marked(body)+hangUp)
	if got := newFixture(t, a).request("POST", "/once/", "body"); got.status != 200 || got.body != body {
		t.Errorf("a field in the body: status %d, body %q", got.status, got.body)
	}
}

// TestInvalidTrailerIsNoEnd guards against chunked responses that pass as whole with trailers that HTTP does not allow.
func TestInvalidTrailerIsNoEnd(t *testing.T) {
	for _, trailer := range []string{"X Y: 1", "X : 1", "X\x01Y: 1", ": 1", "no colon"} {
		a := newTarget(t, "a", "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nTransfer-Encoding: chunked\n\n5\nhello\n0\n"+trailer+"\n\n"+hangUp)
		if got := newFixture(t, a).request("POST", "/once/", "body"); got.status != 502 {
			t.Errorf("%q: status %d, broken %v, body %q", trailer, got.status, got.broken, got.body)
		}
	}
}

// TestCutHeadIsNoResponse guards against a response that passes as whole although its target stopped within its head and closed.
func TestCutHeadIsNoResponse(t *testing.T) {
	for name, head := range map[string]string{
		"length": "HTTP/1.1 200 OK\nSigned: 1\nId: 1\nContent-Length: 15\n\n", "chunks": streamHead, "ends with its connection": unframed,
		"after an interim response": "HTTP/1.1 100 Continue\n\n" + unframed,
		"line feeds alone":          strings.ReplaceAll(unframed, "\n", lineFeed),
	} {
		t.Run(name, func(t *testing.T) {
			sent := wireFormat.Replace(head)
			for n := range len(sent) {
				for _, path := range []string{"/once/", "/stream-once/"} {
					r := newFixture(t, newTarget(t, "a", marked(sent[:n])+hangUp))
					if got := r.request("POST", path, "body"); got.status != 502 || got.broken || got.header.Get("Signed") != "" {
						t.Errorf("%s: after %d bytes, %q: status %d, broken %v, body %q", path, n, sent[max(n-20, 0):n], got.status, got.broken, got.body)
					}
					r.server.Close()
				}
			}
		})
	}
}
