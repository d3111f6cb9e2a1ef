package quarantine

import (
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
)

// transitTime is the longest time that a message takes. Messages state ages, so that what they report seems later by
// the time that they took, and again with each box that passes it on.
const transitTime = time.Second

// ReceivedObservation returns an observation that another box sent, with its age as it was sent. A service counts
// as early as it may have been, so that it does not clear ends that came after it; the box names those that it does
// clear (clearedEnds).
func ReceivedObservation(now time.Time, d call.Digest, target domain.InstanceID, age time.Duration) Observation {
	o := Observation{Digest: d, Target: target, At: now.Add(-age)}
	if target == "" {
		o.At = o.At.Add(-transitTime)
	}
	return o
}

// ReceivedLift returns a lift that another box sent, with its age as it was sent. It counts as early as it may have
// been made.
func ReceivedLift(now time.Time, d call.Digest, age time.Duration) Lift {
	return Lift{Digest: d, At: now.Add(-max(age, 0) - transitTime)}
}
