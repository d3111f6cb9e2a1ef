package orders

import "time"

// Election decides when a rank coordinates its group: while no rank with a lower number
// does, and after these have had the time to start. It is not safe for concurrent use.
type Election struct {
	processStarted  time.Time
	stateChanged    time.Time // of the last GroupStateChanged
	membersReceived time.Time // of the last MembersReceived
	lastReadBy      map[int]time.Time
}

const (
	// coordinatorTimeout is the time without a read by the coordinator after which the
	// next rank takes over: several times the pause between its reads.
	coordinatorTimeout = 500 * time.Millisecond
	// startupDelay is how long a process that started, or that received the members of its
	// group, waits before it coordinates, so that it receives the reads of a lower rank
	// that coordinates. StandbyDelay is added.
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

// Leads reports whether the rank is to coordinate now. Where all ranks of a group of 96
// started to coordinate as the group opened, each of them read all others; the reads filled
// the links of some ranks for some seconds, until their engines were considered lost.
func (e *Election) Leads(now time.Time, rank int) bool {
	from := e.stateChanged
	if started := e.processStarted.Add(startupDelay); started.After(from) {
		from = started
	}
	if received := e.membersReceived.Add(startupDelay); rank > 0 && received.After(from) {
		from = received // the first rank may have received the members later
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
