package orders

import "time"

// Election decides when a rank coordinates its group: while no rank below it does, and
// after these have had the time to begin. It is not safe for concurrent use.
type Election struct {
	started time.Time         // the process
	opened  time.Time         // when the group was first seen open in its epoch
	learnt  time.Time         // when its members were first known
	askedBy map[int]time.Time // ranks that read this one, as a coordinator does
}

const (
	// leaderSilence is how long the coordinator of a group may be silent before the
	// next rank takes its place: several times the pause between its reads.
	leaderSilence = 500 * time.Millisecond
	// settleIn is how long a process that started, or that learnt of its group, waits
	// before it coordinates, so that a lower rank that does can be heard; StandbyDelay comes on
	// top.
	settleIn = leaderSilence
)

// NewElection returns that of a rank whose process starts now.
func NewElection(now time.Time) *Election {
	return &Election{started: now, askedBy: map[int]time.Time{}}
}

// GroupStateChanged takes that the group was seen to be formed anew, or to open or close.
func (s *Election) GroupStateChanged(now time.Time) { s.opened = now }

// MembersReceived takes that the members of the group in its epoch became known.
func (s *Election) MembersReceived(now time.Time) { s.learnt = now }

// ReadBy takes that the rank read this one.
func (s *Election) ReadBy(now time.Time, rank int) { s.askedBy[rank] = now }

// Leads reports whether the rank is to coordinate now. Where all ranks of a group of 96
// began as it opened, each of them read all others, which filled the links of some for
// some seconds, until their engines were taken for gone.
func (s *Election) Leads(now time.Time, rank int) bool {
	from := s.opened
	if settled := s.started.Add(settleIn); settled.After(from) {
		from = settled
	}
	if first := s.learnt.Add(settleIn); rank > 0 && first.After(from) {
		from = first // the first rank may have learnt it later
	}
	if now.Sub(from) <= StandbyDelay(rank) {
		return false
	}
	for r, at := range s.askedBy {
		if r < rank && now.Sub(at) < leaderSilence+StandbyDelay(rank) {
			return false
		}
	}
	return true
}
