package call_test

import (
	"strings"
	"testing"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/fault"
)

// TestParseDigest guards against a digest of an operator that names no work or, in another spelling, a second
// record of one.
func TestParseDigest(t *testing.T) {
	digest := call.DigestOf("org", "POST", "/a", nil)
	if got, err := call.ParseDigest(string(digest)); err != nil || got != digest {
		t.Errorf("got %s, error %v", got, err)
	}
	text := string(digest)
	for _, bad := range []string{"", text[1:], text + "0", text[:31] + "g", strings.ToUpper("ab" + text[2:]), text + "-2", " " + text, "../" + text} {
		if _, err := call.ParseDigest(bad); fault.KindOf(err) != fault.InvalidObject {
			t.Errorf("%q: error %v", bad, err)
		}
	}
}

// TestDigestDependsOnEachPart checks that equal requests have equal digests, and that a
// change of any part changes the digest, also if bytes only move from one part to the next.
func TestDigestDependsOnEachPart(t *testing.T) {
	digest := call.DigestOf("org", "POST", "/a/b?c", []byte("body"))
	if repeated := call.DigestOf("org", "POST", "/a/b?c", []byte("body")); repeated != digest {
		t.Errorf("equal requests have the digests %s and %s", digest, repeated)
	}
	for name, other := range map[string]call.Digest{
		"another organisation":   call.DigestOf("gro", "POST", "/a/b?c", []byte("body")),
		"another method":         call.DigestOf("org", "GET", "/a/b?c", []byte("body")),
		"another path":           call.DigestOf("org", "POST", "/a/b?d", []byte("body")),
		"another body":           call.DigestOf("org", "POST", "/a/b?c", []byte("ybod")),
		"byte moved to the path": call.DigestOf("org", "POST", "/a/b?cb", []byte("ody")),
	} {
		if other == digest {
			t.Errorf("%s: the digest did not change", name)
		}
	}
}
