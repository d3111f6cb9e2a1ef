package call

import (
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// ID distinguishes one try of a caller from every other.
type ID string

// PromptPrefix is a beginning of prompts that several requests may share.
type PromptPrefix struct {
	ID     string
	Tokens int
}

// Prompt is what a request for a model states about its size.
type Prompt struct {
	Tokens     int // of the prompt
	MaxTokens  int // tokens that the answer has at the most
	LengthHint int // the caller's guess of the answer's tokens; 0 if it gave none
	Prefixes   []PromptPrefix
}

// Fields are what a Request is made of.
type Fields struct {
	ID       ID
	Host     string
	Path     string
	Key      string    // of the organisation; empty if none was sent
	Deadline time.Time // when the caller stops waiting; zero if it did not say
	Prompt   *Prompt   // nil for a request that is not for a model
	// LastEventID is the last event that the caller has of an answer that it takes up
	// again; empty for a new request.
	LastEventID string
}

// Request is one try of a caller.
type Request struct{ f Fields }

// NewRequest returns a checked request.
func NewRequest(f Fields) (Request, error) {
	if f.ID == "" {
		return Request{}, fault.New(fault.BadRequest, "the request has no id").Field("id")
	}
	return Request{f: f}, nil
}

// ID is the caller's name for this try.
func (r Request) ID() ID { return r.f.ID }

// Host is the host that the caller asked for.
func (r Request) Host() string { return r.f.Host }

// Path is the path without the query.
func (r Request) Path() string { return r.f.Path }

// Key is the organisation's key, or empty.
func (r Request) Key() string { return r.f.Key }

// Deadline is when the caller stops waiting; zero if it did not state one.
func (r Request) Deadline() time.Time { return r.f.Deadline }

// Prompt is the size of a request for a model; nil for others.
func (r Request) Prompt() *Prompt { return r.f.Prompt }

// LastEventID is the last event that the caller has; empty for a new request.
func (r Request) LastEventID() string { return r.f.LastEventID }

// Attempt is what a target receives beside the request itself.
type Attempt struct {
	// Instance is the start of the target that may run the request; another one at
	// the same address must not.
	Instance domain.InstanceID
	// Organisation is on whose behalf the request is made; empty for none.
	Organisation domain.OrganisationName
	// Deadline is when the target may stop working on it.
	Deadline time.Time
	// LastEventID is the last event that the caller already has; empty for none.
	LastEventID string
}
