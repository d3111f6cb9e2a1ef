package orders

import "time"

// Election decides when a rank coordinates its group: while no lower-numbered rank
// coordinates, and only after the lower-numbered ranks have had time to start. It is not
// safe for concurrent use.
type Election struct {
	processStarted  time.Time
	stateChanged    time.Time // time of the last call of GroupStateChanged
	membersReceived time.Time // time of the last call of MembersReceived
	lastReadBy      map[int]time.Time
}

const (
	// coordinatorTimeout is the time without a read by the coordinator after which the
	// next rank takes over: several times the pause between its reads.
	coordinatorTimeout = 500 * time.Millisecond
	// startupDelay is how long a process that started, or that received the members of its
	// group, waits before it coordinates, so that it receives the reads of a lower rank
	// that coordinates. StandbyDelay is added to it.
	startupDelay = coordinatorTimeout
)

// NewElection returns the election of a rank whose process starts now.
func NewElection(now time.Time) *Election {
	return &Election{processStarted: now, lastReadBy: map[int]time.Time{}}
}

// GroupStateChanged records that the group was observed to be formed anew, to open or to
// close.
func (e *Election) GroupStateChanged(now time.Time) { e.stateChanged = now }

// MembersReceived records that the members of the group in its epoch were received.
func (e *Election) MembersReceived(now time.Time) { e.membersReceived = now }

// ReadBy records that this rank was read by another, as only coordinators do.
func (e *Election) ReadBy(now time.Time, rank int) { e.lastReadBy[rank] = now }

// Leads reports whether the rank is to coordinate now. The delays keep ranks from all
// starting to coordinate as the group opens: in a group of 96, each rank then read all
// others, and the reads filled the links of some ranks for some seconds, until their engines
// were considered lost.
func (e *Election) Leads(now time.Time, rank int) bool {
	from := e.stateChanged
	if started := e.processStarted.Add(startupDelay); started.After(from) {
		from = started
	}
	if received := e.membersReceived.Add(startupDelay); rank > 0 && received.After(from) {
		from = received // rank 0 may have received the members later than this rank
	}
	if now.Sub(from) <= StandbyDelay(rank) {
		return false
	}
	for r, at := range e.lastReadBy {
		if r < rank && now.Sub(at) < coordinatorTimeout+StandbyDelay(rank) {
			return false
		}
	}
	return true
}
