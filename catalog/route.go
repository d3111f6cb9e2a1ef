package catalog

import (
	"strings"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// Kind states what may be repeated of a route's requests.
type Kind int

// The kinds of route.
const (
	// Once: a request runs at most once.
	Once Kind = iota + 1
	// Repeatable: a request may run more than once.
	Repeatable
	// Stream: the answer is a series of events. A request runs at most once unless
	// the route reports that its streams may be resumed.
	Stream
)

// String gives the name of the kind.
func (k Kind) String() string {
	switch k {
	case Once:
		return "once"
	case Repeatable:
		return "repeatable"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	Service domain.ServiceName
	Weight  float64
}

// RouteFields are what a Route is made of.
type RouteFields struct {
	Name              string
	Host              string
	Prefix            string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // from arrival to the final answer
	LatencyObjective  time.Duration // within which an answer is in time
	EventGapObjective time.Duration // longest pause between events of an answer in time; 0 for none
	Priority          int           // 0 is the most urgent
	MaxAttempts       int           // targets that one request may be sent to
	Public            bool          // needs no key
	// Resumable reports that a stream may be taken up by another target after its
	// last whole event.
	Resumable bool
	Backends  []Backend
}

// Route states how requests for a host and the beginning of a path are served.
type Route struct {
	f     RouteFields
	total float64 // of the weights
}

// NewRoute returns a checked route.
func NewRoute(f RouteFields) (Route, error) {
	switch {
	case f.Host == "":
		return Route{}, bad("host", "route %q: missing", f.Name)
	case !strings.HasPrefix(f.Prefix, "/") || !strings.HasSuffix(f.Prefix, "/"):
		return Route{}, bad("prefix", "route %q: %q does not begin and end with a slash", f.Name, f.Prefix)
	case f.Kind < Once || f.Kind > Stream:
		return Route{}, bad("kind", "route %q: unknown kind", f.Name)
	case f.Timeout <= 0:
		return Route{}, bad("timeout", "route %q: %v is not positive", f.Name, f.Timeout)
	}
	f.MaxAttempts = max(f.MaxAttempts, 1)
	r := Route{f: f}
	for _, b := range f.Backends {
		if b.Service == "" || b.Weight < 0 {
			return Route{}, bad("backends", "route %q: service %q with weight %v", f.Name, b.Service, b.Weight)
		}
		r.total += b.Weight
	}
	if r.total <= 0 {
		return Route{}, bad("backends", "route %q: no service has a weight", f.Name)
	}
	return r, nil
}

func bad(field, format string, args ...any) error {
	return fault.New(fault.InvalidObject, format, args...).Field(field)
}

// Name is the operator's name for the route.
func (r Route) Name() string { return r.f.Name }

// Kind states what may be repeated.
func (r Route) Kind() Kind { return r.f.Kind }

// Timeout is how long a request may be held before its final answer.
func (r Route) Timeout() time.Duration { return r.f.Timeout }

// LatencyObjective is the time within which an answer, or a stream's first event, is in time.
func (r Route) LatencyObjective() time.Duration { return r.f.LatencyObjective }

// EventGapObjective is the longest pause between events of a stream in time; 0 for none.
func (r Route) EventGapObjective() time.Duration { return r.f.EventGapObjective }

// Priority is the rank of its requests; 0 is the most urgent.
func (r Route) Priority() int { return r.f.Priority }

// MaxAttempts is how many targets one request may be sent to.
func (r Route) MaxAttempts() int { return r.f.MaxAttempts }

// Public reports that its requests need no key.
func (r Route) Public() bool { return r.f.Public }

// MayRepeat reports whether a request may run more than once from its beginning. A
// stream that may be resumed may also be run anew before its first event.
func (r Route) MayRepeat() bool { return r.f.Kind == Repeatable || r.MayResume() }

// MayResume reports whether a broken stream may be taken up by another target.
func (r Route) MayResume() bool { return r.f.Kind == Stream && r.f.Resumable }

// SelectService chooses the service for one request; draw is from 0 up to 1.
func (r Route) SelectService(draw float64) domain.ServiceName {
	left := draw * r.total
	for _, b := range r.f.Backends {
		if left -= b.Weight; left < 0 {
			return b.Service
		}
	}
	return r.f.Backends[len(r.f.Backends)-1].Service
}
