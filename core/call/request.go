package call

import (
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/core/urgency"
)

// ID identifies one request of a caller. A caller's retry is a request with another ID.
type ID string

// PromptPrefix is a prefix of prompts that several requests may share.
type PromptPrefix struct {
	ID     string
	Tokens int
}

// Prompt states the size of a request to a model.
type Prompt struct {
	Tokens     int // number of tokens in the prompt; 0 if it was not stated
	MaxTokens  int // maximum number of tokens in the response; 0 if it was not stated
	LengthHint int // the caller's estimate of the tokens in the response; 0 if it sent none
	Prefixes   []PromptPrefix
}

// SharedPrefixes returns the IDs of the prefixes that other prompts may have too. The last prefix of a prompt belongs to
// the request or its session alone.
func (p *Prompt) SharedPrefixes() []string {
	if p == nil {
		return nil
	}
	var list []string
	for _, x := range p.Prefixes[:max(len(p.Prefixes)-1, 0)] {
		list = append(list, x.ID)
	}
	return list
}

// Fields are the fields of a Request.
type Fields struct {
	ID       ID
	Host     string
	Path     string
	Key      string    // API key of the organisation; empty if none was sent
	Deadline time.Time // time at which the caller stops waiting; zero if it sent none
	Prompt   *Prompt   // nil for a request that is not to a model
	// LastEventID is the id of the last event that the caller received of the response that
	// it resumes; empty for a new request.
	LastEventID string
}

// Request is one request of a caller.
type Request struct{ f Fields }

// NewRequest validates the fields and returns the request.
func NewRequest(f Fields) (Request, error) {
	if f.ID == "" {
		return Request{}, fault.New(fault.BadRequest, "the request has no id").Field("id")
	}
	return Request{f: f}, nil
}

// ID returns the id that the caller gave the request.
func (r Request) ID() ID { return r.f.ID }

// Host returns the host that the caller requested.
func (r Request) Host() string { return r.f.Host }

// Path returns the path without the query.
func (r Request) Path() string { return r.f.Path }

// Key returns the API key of the organisation; empty if none was sent.
func (r Request) Key() string { return r.f.Key }

// Deadline returns the time at which the caller stops waiting; zero if it sent none.
func (r Request) Deadline() time.Time { return r.f.Deadline }

// Prompt returns the size of a request to a model; nil for other requests.
func (r Request) Prompt() *Prompt { return r.f.Prompt }

// LastEventID returns the id of the last event that the caller received; empty for a new
// request.
func (r Request) LastEventID() string { return r.f.LastEventID }

// Attempt holds the data that are sent to a target in addition to the request itself.
type Attempt struct {
	// Instance is the instance that may run the request; another instance at the same
	// address must decline it.
	Instance domain.InstanceID
	// Organisation is the organisation that the request belongs to; empty for none.
	Organisation domain.OrganisationName
	// Class is the urgency of the request.
	Class urgency.Class
	// Deadline is the time at which the target may stop working on the request.
	Deadline time.Time
	// LastEventID is the id of the last event that the caller received; empty for none.
	LastEventID string
}
