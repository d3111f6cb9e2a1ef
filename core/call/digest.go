package call

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"clovertrail.dev/core/domain"
)

// Digest names what a request asks for: the same for each try of the same work by the same
// organisation at whichever box, where an ID is another each time. Empty for none.
type Digest string

// digestBytes is the length of a digest: two requests in 2^64 share one by chance.
const digestBytes = 16

// DigestOf is the digest of a request with the method, the path with its query, and the body.
// The host is left out: a route may move to another one.
func DigestOf(org domain.OrganisationName, method, path string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(org), []byte(method), []byte(path), body} {
		// The length keeps what ends one part from being read as the beginning of the next.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part)))) // a hash takes all
		_, _ = h.Write(part)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}
