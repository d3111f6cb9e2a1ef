package waitqueue

import (
	"cmp"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/urgency"
)

// Stage states which further tries the caller of a request has.
type Stage int

// The stages.
const (
	// FirstTry: the caller returns once if it is refused.
	FirstTry Stage = iota
	// Returning: the caller was refused before and has no further try.
	Returning
	// Started: an attempt may have run, or the caller has a part of the answer. A refusal would not state
	// that the request did not run, so the caller does not return.
	Started
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"first try", "returning", "started"}[s] }

// Request is a request without a usable target.
type Request struct {
	Service domain.ServiceName
	Class   urgency.Class
	Stage   Stage
	// LeavesAt is when the caller leaves unless it has received an event by then.
	LeavesAt time.Time
	// Deadline is when the caller stops waiting for the end of the answer.
	Deadline time.Time
	// FirstByte is the mean time from the choice of a target to the first byte of the answer; 0 if unknown.
	FirstByte time.Duration
	// Duration is the mean time from the choice of a target to the end of the answer; 0 if unknown.
	Duration time.Duration
	// OpensAt is when the group is expected to open; zero if that is unknown.
	OpensAt time.Time
	// Withdrawn states that the ranks of the service are listed but not expected to take requests soon, as when the
	// data halls of all are evacuated.
	Withdrawn bool
}

// minAnswerTime is the least time that a released request needs before its caller leaves: a connection to a
// target in another data hall, the processing of the prompt and a pass of the group.
const minAnswerTime = 300 * time.Millisecond

// A group that has just opened has long passes until it has a map that suits the demand, and processes the
// prompts of all that waited at once. Its answers begin later and take longer than on average by these factors,
// which leave room for answers that are longer than the mean too.
const (
	openingFirstByteFactor = 2.5
	openingDurationFactor  = 1.25
)

// callerEnd returns when the caller leaves if its answer does not begin.
func (r Request) callerEnd() time.Time {
	if r.Deadline.Before(r.LeavesAt) {
		return r.Deadline
	}
	return r.LeavesAt
}

// LatestRelease returns the time from which an answer is not expected to begin before the caller leaves, or to end
// before the deadline. A request that has started waits for as long as an answer can begin at all: refusing it earlier
// gains its caller nothing, as the refusal would not state that it did not run, and the rest of the answer may be short.
func (r Request) LatestRelease() time.Time {
	if r.Stage == Started {
		return r.callerEnd().Add(-cmp.Or(r.FirstByte, minAnswerTime))
	}
	latest := r.callerEnd().Add(-max(multiple(openingFirstByteFactor, r.FirstByte), minAnswerTime))
	if r.Duration == 0 {
		return latest
	}
	if end := r.Deadline.Add(-multiple(openingDurationFactor, r.Duration)); end.Before(latest) {
		return end
	}
	return latest
}

func multiple(factor float64, d time.Duration) time.Duration {
	return time.Duration(factor * float64(d))
}

// opensInTime reports whether the group is expected to open before the request is refused.
func (r Request) opensInTime() bool {
	return !r.OpensAt.IsZero() && r.OpensAt.Before(r.LatestRelease())
}

// compare orders requests by class, and within a class by who leaves first.
func (r Request) compare(o Request) int {
	return cmp.Or(r.Class.Compare(o.Class), r.callerEnd().Compare(o.callerEnd()))
}
