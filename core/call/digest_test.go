package call_test

import (
	"testing"

	"clovertrail.dev/core/call"
)

// TestADigestIsOfTheWork: tries of the same work share a digest, and whatever makes it other
// work changes it, also where the same letters stand in other parts.
func TestADigestIsOfTheWork(t *testing.T) {
	of := call.DigestOf("org", "POST", "/a/b?c", []byte("body"))
	if again := call.DigestOf("org", "POST", "/a/b?c", []byte("body")); again != of {
		t.Errorf("the same work has the digests %s and %s", of, again)
	}
	for name, other := range map[string]call.Digest{
		"another organisation": call.DigestOf("gro", "POST", "/a/b?c", []byte("body")),
		"another method":       call.DigestOf("org", "GET", "/a/b?c", []byte("body")),
		"another path":         call.DigestOf("org", "POST", "/a/b?d", []byte("body")),
		"another body":         call.DigestOf("org", "POST", "/a/b?c", []byte("ybod")),
		"letters moved":        call.DigestOf("org", "POST", "/a/b?cb", []byte("ody")),
	} {
		if other == of {
			t.Errorf("%s has the same digest", name)
		}
	}
}
