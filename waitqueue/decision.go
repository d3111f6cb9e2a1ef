package waitqueue

import "time"

// Ticket identifies a request that was added to a Queue.
type Ticket uint64

// Decision states what happens to a request. The set is closed: Queued, Released and Refused. A ticket has
// at most one decision after Queued.
type Decision interface{ decision() }

// Queued means that the request waits.
type Queued struct {
	Ticket Ticket
	Place  int // number of requests of the service that are released before it, plus one
}

// Released means that the request is to choose a target now.
type Released struct {
	Ticket Ticket
	Waited time.Duration
}

// Refused means that the request is refused.
type Refused struct {
	Ticket Ticket
	Reason Reason
	Queued bool // whether it waited before
	Waited time.Duration
}

func (Queued) decision()   {}
func (Released) decision() {}
func (Refused) decision()  {}

// Reason states why a request is refused.
type Reason string

// The reasons.
const (
	// Expired: too little time is left to begin an answer before the caller leaves.
	Expired Reason = "expired"
	// Displaced: the queue is full, and a more urgent request takes the place.
	Displaced Reason = "displaced"
	// Stopped: the box makes a planned stop.
	Stopped Reason = "stopped"
	// Gone: no group of the service is expected to take requests.
	Gone Reason = "gone"
	// Full: the queue has no place for another request of the class.
	Full Reason = "full"
	// Unexpected: the caller can return, and the group is not expected to open before the caller leaves.
	Unexpected Reason = "unexpected"
)

var reasonTexts = map[Reason]string{
	Expired:    "too little time is left to begin an answer before the caller leaves",
	Displaced:  "a more urgent request takes the place",
	Stopped:    "this box stops",
	Gone:       "no group of the service is expected to take requests",
	Full:       "the queue is full",
	Unexpected: "the group is not expected to open before the caller leaves",
}

// Text describes the reason for the error of a refused request.
func (r Reason) Text() string { return reasonTexts[r] }
