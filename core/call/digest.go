package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// Digest identifies the work of a request. Repeated requests of an organisation for the same
// work have the same digest on every box, whereas each of them has its own ID. Empty for none.
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

// ParseDigest checks a digest that a person entered.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != digestBytes || hex.EncodeToString(raw) != text {
		return "", fault.New(fault.InvalidObject, "%q is no digest, want %d lower-case hexadecimal digits", text, hex.EncodedLen(digestBytes)).Field("digest")
	}
	return Digest(text), nil
}
