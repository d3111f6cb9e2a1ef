package catalog

import (
	"strings"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/core/urgency"
)

// Kind states how often a request of a route may run.
type Kind int

// The kinds of route.
const (
	// Once: a request runs at most once.
	Once Kind = iota + 1
	// Repeatable: a request may run more than once.
	Repeatable
	// Stream: the answer is a series of events. A request runs at most once unless
	// the route's streams are resumable.
	Stream
)

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

// Backend is a service that receives a share of a route's requests, in proportion to its weight.
type Backend struct {
	Service domain.ServiceName
	Weight  float64
}

// RouteFields are the properties of a Route.
type RouteFields struct {
	Name              string
	Host              string
	Prefix            string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // maximum time from the arrival of a request to its final answer
	LatencyObjective  time.Duration // time within which an answer, or a stream's first event, is due
	EventGapObjective time.Duration // longest acceptable pause between events of a stream; 0 for none
	Priority          int           // 0 is the most urgent; a negative one counts as urgency.DefaultPriority
	MaxAttempts       int           // number of targets that one request may be sent to
	Patience          time.Duration // how long a caller waits for the next event of a stream before it leaves; 0 if unknown
	Public            bool          // requests need no key
	// Resumable states that another target may continue a stream after its last complete
	// event.
	Resumable bool
	Backends  []Backend
}

// Route states how requests for a host and a path prefix are served.
type Route struct {
	f           RouteFields
	totalWeight float64
}

// NewRoute validates the fields and returns the route.
func NewRoute(f RouteFields) (Route, error) {
	switch {
	case f.Host == "":
		return Route{}, invalid("host", "route %q: host is missing", f.Name)
	case !strings.HasPrefix(f.Prefix, "/") || !strings.HasSuffix(f.Prefix, "/"):
		return Route{}, invalid("prefix", "route %q: prefix %q does not begin and end with a slash", f.Name, f.Prefix)
	case f.Kind < Once || f.Kind > Stream:
		return Route{}, invalid("kind", "route %q: unknown kind %d", f.Name, int(f.Kind))
	case f.Timeout <= 0:
		return Route{}, invalid("timeout", "route %q: timeout %v is not positive", f.Name, f.Timeout)
	}
	f.MaxAttempts = max(f.MaxAttempts, 1)
	if f.Priority < 0 {
		f.Priority = urgency.DefaultPriority
	}
	r := Route{f: f}
	for _, b := range f.Backends {
		if b.Service == "" || b.Weight < 0 {
			return Route{}, invalid("backends", "route %q: backend with service %q and weight %v, want a name and no negative weight", f.Name, b.Service, b.Weight)
		}
		r.totalWeight += b.Weight
	}
	if r.totalWeight <= 0 {
		return Route{}, invalid("backends", "route %q: no backend has a positive weight", f.Name)
	}
	return r, nil
}

// invalid returns the error for an invalid field of the configuration.
func invalid(field, format string, args ...any) error {
	return fault.New(fault.InvalidObject, format, args...).Field(field)
}

// Name returns the operator's name of the route.
func (r Route) Name() string { return r.f.Name }

// Kind states how often a request may run.
func (r Route) Kind() Kind { return r.f.Kind }

// Timeout returns the maximum time from the arrival of a request to its final answer.
func (r Route) Timeout() time.Duration { return r.f.Timeout }

// LatencyObjective returns the time within which an answer, or a stream's first event, is due.
func (r Route) LatencyObjective() time.Duration { return r.f.LatencyObjective }

// EventGapObjective returns the longest acceptable pause between events of a stream; 0 for none.
func (r Route) EventGapObjective() time.Duration { return r.f.EventGapObjective }

// Priority returns the priority of the route's requests; 0 is the most urgent.
func (r Route) Priority() int { return r.f.Priority }

// Patience returns how long a caller waits for the next event of a stream, the first one included, before
// it leaves; 0 if unknown.
func (r Route) Patience() time.Duration { return r.f.Patience }

// MaxAttempts returns the number of targets that one request may be sent to.
func (r Route) MaxAttempts() int { return r.f.MaxAttempts }

// Public reports whether requests need no key.
func (r Route) Public() bool { return r.f.Public }

// MayRepeat reports whether a request may run more than once from its beginning. A resumable stream
// may also be restarted before its first event.
func (r Route) MayRepeat() bool { return r.f.Kind == Repeatable || r.MayResume() }

// MayResume reports whether another target may continue an interrupted stream.
func (r Route) MayResume() bool { return r.f.Kind == Stream && r.f.Resumable }

// SelectService returns the service for one request, chosen by weight; draw is a random number in
// [0, 1).
func (r Route) SelectService(draw float64) domain.ServiceName {
	remaining := draw * r.totalWeight
	for _, b := range r.f.Backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	return r.f.Backends[len(r.f.Backends)-1].Service
}
