package call

import "clovertrail.dev/core/domain"

// Work identifies what a request asks of a target: the request as a whole, and the parts of its prompt that other
// prompts may have too.
type Work struct {
	request Digest
	parts   []Digest
}

// NewWork returns the work of a request to a service. The prompt is nil for a request that is not to a model.
func NewWork(request Digest, svc domain.ServiceName, p *Prompt) Work {
	w := Work{request: request}
	list := p.SharedPrefixes()
	seen := make(map[string]bool, len(list))
	for _, id := range list {
		if id != "" && !seen[id] {
			seen[id] = true
			w.parts = append(w.parts, DigestOfPart(svc, id))
		}
	}
	return w
}

// Request returns the digest of the whole request.
func (w Work) Request() Digest { return w.request }

// Parts returns the digests of the parts of the prompt, without duplicates. The caller must not modify them.
func (w Work) Parts() []Digest { return w.parts }

// WithoutParts returns the work without the parts of its prompt.
func (w Work) WithoutParts() Work { return Work{request: w.request} }

// Digests returns all digests, that of the request first.
func (w Work) Digests() []Digest { return append([]Digest{w.request}, w.parts...) }
