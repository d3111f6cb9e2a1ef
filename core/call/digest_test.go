package call_test

import (
	"strings"
	"testing"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// TestParseDigest guards against a digest of an operator that names no work or, in another spelling, a second
// record of one.
func TestParseDigest(t *testing.T) {
	digest := call.DigestOf("org", "POST", "/a", nil)
	if got, err := call.ParseDigest(string(digest)); err != nil || got != digest {
		t.Errorf("got %s, error %v", got, err)
	}
	part := call.DigestOfPart("s", "5c1e07a2")
	if got, err := call.ParseDigest(string(part)); err != nil || got != part || !part.IsPart() || digest.IsPart() {
		t.Errorf("got %s for a part, error %v", got, err)
	}
	text := string(digest)
	for _, bad := range []string{"", text[1:], text + "0", text[:31] + "g", strings.ToUpper("ab" + text[2:]), text + "-2", " " + text, "../" + text, "part-", "part-5c1e07a2", string(part) + "0", "part-../-" + text[:12]} {
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

// TestWorkNamesSharedParts guards against parts that are confused with those of another service, against ids that do not fit
// into the name of a record, and against a prompt with thousands of parts.
func TestWorkNamesSharedParts(t *testing.T) {
	parts := func(svc domain.ServiceName, ids ...string) []call.Digest {
		p := &call.Prompt{}
		for _, id := range ids {
			p.Prefixes = append(p.Prefixes, call.PromptPrefix{ID: id})
		}
		return call.NewWork("r", svc, p).Parts()
	}
	if got := parts("s", "a", "b", "a", "", "own"); len(got) != 2 || got[0] != call.DigestOfPart("s", "a") {
		t.Errorf("parts %v, want the two that other prompts may have", got)
	}
	if parts("s", "a", "own")[0] == parts("other", "a", "own")[0] {
		t.Error("a part has the same digest at two services")
	}
	if got := parts("s", "own"); len(got) != 0 {
		t.Errorf("parts %v of a prompt with none but its own", got)
	}
	if got := parts("s", strings.Split(strings.Repeat("x,", 5000)+"y", ",")...); len(got) != 1 {
		t.Errorf("%d parts, want one", len(got))
	}
	for _, id := range []string{"../../config", strings.Repeat("f", 4000), "a b", "ü"} {
		if d, err := call.ParseDigest(string(parts("s", id, "own")[0])); err != nil || len(d) > 64 {
			t.Errorf("%q: digest %q, error %v", id, d, err)
		}
	}
}
