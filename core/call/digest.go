package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strings"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// Digest identifies the work of a request, or a part of the prompts of several. Repeated requests of an
// organisation for the same work have the same digest on every box, whereas each of them has its own ID. Empty for
// none.
type Digest string

// digestBytes is the length of a digest: among 2^64 requests, about two share a digest by chance.
const digestBytes = 16

// DigestOf returns the digest of a request with the method, the path with its query, and the body.
// The host is excluded, since a route may move to another host.
func DigestOf(org domain.OrganisationName, method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(org), []byte(method), []byte(path), body} {
		// The length prefix keeps the parts apart: moving bytes from the end of one to the
		// beginning of the next changes the digest.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // hash.Hash never fails
		_, _ = h.Write(part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}

// A digest of a part of prompts is partPrefix, the id of the part, and partHashBytes of a hash of the service and the
// id in hexadecimal. An id that is long or has other characters than letters and digits is left out.
const (
	partPrefix    = "part-"
	partHashBytes = 6
)

var partPattern = regexp.MustCompile(`^part-([0-9A-Za-z]{1,24}-)?[0-9a-f]{12}$`)

// DigestOfPart returns the digest of a part of the prompts to a service. The targets of a service run the same
// program, which may crash on a part that those of another service can process.
func DigestOfPart(svc domain.ServiceName, id string) Digest {
	sum := sha256.Sum256([]byte(string(svc) + "\x00" + id))
	d := hex.EncodeToString(sum[:partHashBytes])
	if readable := Digest(partPrefix + id + "-" + d); partPattern.MatchString(string(readable)) {
		return readable
	}
	return Digest(partPrefix + d)
}

// IsPart reports whether the digest is that of a part of prompts.
func (d Digest) IsPart() bool { return strings.HasPrefix(string(d), partPrefix) }

// ParseDigest checks a digest that a person entered.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	isRequest := err == nil && len(raw) == digestBytes && hex.EncodeToString(raw) == text
	if !isRequest && !partPattern.MatchString(text) {
		return "", fault.New(fault.InvalidObject, "%q is no digest, want %d lower-case hexadecimal digits, or %sID-%d of them",
			text, hex.EncodedLen(digestBytes), partPrefix, hex.EncodedLen(partHashBytes)).Field("digest")
	}
	return Digest(text), nil
}
