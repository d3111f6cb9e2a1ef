package call

import (
	"net/http"
	"time"

	"clovertrail.dev/core/domain"
)

// Outcome is the outcome of a request according to the head of a target's response.
type Outcome int

// The outcomes. Only Declined guarantees that the request never runs on the target.
const (
	// Served means that the target ran the request and returns its result.
	Served Outcome = iota + 1
	// Failed means that the target ran the request and could not serve it.
	Failed
	// Declined means that the target did not run the request and never will.
	Declined
	// WrongInstance means that another instance uses the address; it did not run the request.
	WrongInstance
	// Unrecognised means that the response was not sent by a target or belongs to another
	// request. Nothing can be concluded from it.
	Unrecognised
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case Failed:
		return "failed"
	case Declined:
		return "declined"
	case WrongInstance:
		return "elsewhere"
	default:
		return "foreign"
	}
}

// Load is the load that a target reports: its running and waiting requests, and the maximum
// number of concurrent requests.
type Load struct {
	Running, Waiting, Slots int
}

// Response is the head of a target's response.
type Response struct {
	// ID is the id of the request that the response belongs to; empty if it was not sent.
	ID      ID
	Outcome Outcome
	Status  int
	// Load is nil if the target did not report it.
	Load *Load
	// AtFault is the target that caused a failure; empty if none was named.
	AtFault domain.ListedID
	// RetryAt is the earliest time at which the target asks to be sent a request again; zero
	// if it named none.
	RetryAt time.Time
	// Leaving reports whether the target announced that it is leaving. It still serves the
	// requests that it has.
	Leaving bool
	// Limit is the request rate that the target accepts; nil if it could not be parsed.
	Limit Limit
}

// RestUntil returns the time until which the target asks this box for no requests at all; zero
// if it does not ask for that. Only with status 503 does the retry time apply to the
// target; with other statuses, such as that of an organisation that has used up its share, it
// applies to the request.
func (r Response) RestUntil() time.Time {
	if r.Status != http.StatusServiceUnavailable {
		return time.Time{}
	}
	return r.RetryAt
}

// AtCapacity reports whether the target with the given id declined the request because it is
// full, without a retry time. It is false if the target declined because of the
// request itself or because of another target, as a rank does whose group has lost one.
func (r Response) AtCapacity(id domain.ListedID) bool {
	own := r.AtFault == "" || r.AtFault == id
	return r.Outcome == Declined && r.Status == http.StatusServiceUnavailable && r.RetryAt.IsZero() && own
}

// GroupStopped reports whether the target with the given id declined the request because another target is
// at fault, as a rank does whose group has lost one.
func (r Response) GroupStopped(id domain.ListedID) bool {
	return r.Outcome == Declined && r.Status == http.StatusServiceUnavailable && r.AtFault != "" && r.AtFault != id
}
