package call

import (
	"net/http"
	"time"

	"clovertrail.dev/core/domain"
)

// Outcome is what the head of a target's answer states about the request.
type Outcome int

// The outcomes. Only Declined promises that the request did not run.
const (
	// Served: the target ran the request and answers it.
	Served Outcome = iota + 1
	// Failed: the target ran the request, and reports that it could not serve it.
	Failed
	// Declined: the target did not run the request and never will.
	Declined
	// WrongInstance: another instance stands at the address; it did not run it.
	WrongInstance
	// Unrecognised: the answer is not one that a target gives, or belongs to another
	// request. It reports nothing.
	Unrecognised
)

// String gives the name of the outcome.
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

// Load is how busy a target reports that it is.
type Load struct {
	Running, Waiting, Slots int
}

// Response is the head of a target's answer.
type Response struct {
	ID      ID // of the request that it answers; empty if it does not say
	Outcome Outcome
	Status  int
	Load    *Load           // nil if the target does not tell
	AtFault domain.ListedID // the target that is to blame for a failure, if it says
	// RetryAt is when the target asks to be sent something again; zero if it does not.
	RetryAt time.Time
	// Leaving reports whether the target announces that it is leaving. It serves what it has.
	Leaving bool
	// Limit is how much the target reports that it takes; nil if that cannot be read.
	Limit Limit
}

// RestUntil is until when the target wants nothing at all from this box; zero if it does not ask
// for that. Only the status of one that takes no work now means that; with others, as where an
// organisation has had its share, the time is for that request.
func (a Response) RestUntil() time.Time {
	if a.Status != http.StatusServiceUnavailable {
		return time.Time{}
	}
	return a.RetryAt
}

// AtCapacity reports that the target id declined the request for want of room, and did not state for how
// long: neither for the request's own sake nor for another target's, as a rank does whose group
// has lost one.
func (a Response) AtCapacity(id domain.ListedID) bool {
	own := a.AtFault == "" || a.AtFault == id
	return a.Outcome == Declined && a.Status == http.StatusServiceUnavailable && a.RetryAt.IsZero() && own
}
