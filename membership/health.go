package membership

import "time"

// health holds the outcomes of attempts at a target, or at a whole service.
type health struct {
	failShare      float64 // smoothed share of failures
	samples        int
	ejections      int
	ejectedUntil   time.Time
	probationUntil time.Time // end of the probation after an ejection for failures that boxes reported

	rejections int       // attempts in a row that the target rejected for lack of capacity
	fullUntil  time.Time // until when the target is assumed to have no capacity

	connectFailures  int       // failed connections in a row
	unreachableAt    time.Time // time of the last failed connection
	unreachableUntil time.Time // until when the target is not tried
	reachedAt        time.Time // time of the last response or report
}

const (
	healthSmoothing = 0.2 // weight of one more attempt in the share of failures
	healthSamples   = 4   // attempts before a share of failures is significant
	maxEjections    = 8   // doublings of an ejection, and of the time an unreachable target is not tried
	maxRejections   = 8   // doublings of the time for which a target is assumed to have no capacity
)

func (h *health) addSample(failed bool) {
	weight := max(healthSmoothing, 1/float64(h.samples+1))
	sample := 0.0
	if failed {
		sample = 1
	}
	h.samples++
	h.failShare += weight * (sample - h.failShare)
}

func (h *health) succeeded(now time.Time) {
	h.markReached(now)
	h.rejections = 0
	if h.failShare < healthSmoothing {
		h.ejections = 0
	}
}

// failsMoreThan reports whether the share of failures exceeds that of the whole service by more
// than the margin.
func (h *health) failsMoreThan(whole *health, margin float64) bool {
	return h.samples >= healthSamples && h.failShare > whole.failShare+margin
}

func (h *health) eject(now time.Time, p RosterPolicy) {
	if h.ejected(now) {
		return
	}
	d := min(p.EjectFor<<min(h.ejections, maxEjections), p.EjectMax)
	h.ejections++
	h.ejectedUntil = now.Add(d)
	h.samples, h.failShare = 0, 0
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// probation is how long a target is on probation after an ejection for reported failures: several
// times as long as a box that uses the target again needs to detect that the target still fails.
const probation = 5 * time.Second

// ejectReported ejects a target of which several boxes report failures.
func (h *health) ejectReported(now time.Time, p RosterPolicy) {
	d := min(p.PeerEjectFor<<min(h.ejections, maxEjections), p.EjectMax)
	h.ejections++
	h.ejectedUntil = now.Add(d + time.Duration(p.Spread*float64(d)))
	h.probationUntil = h.ejectedUntil.Add(probation)
	h.samples, h.failShare = 0, 0
}

func (h *health) onProbation(now time.Time) bool { return now.Before(h.probationUntil) }

// markFull records that the target rejected an attempt for lack of capacity. A single rejection
// takes effect: a target that rejects all attempts has no open requests, so it would seem idle and
// attract the load.
func (h *health) markFull(now time.Time, p RosterPolicy) {
	if h.full(now) {
		return // attempts that were under way at the first rejection give no new information
	}
	h.fullUntil = now.Add(min(p.RejectedFor<<min(h.rejections, maxRejections), p.RejectedMax))
	h.rejections++
}

func (h *health) full(now time.Time) bool { return now.Before(h.fullUntil) }

// markUnreachable records a failed connection.
func (h *health) markUnreachable(now time.Time, p RosterPolicy) {
	if h.unreachable(now) {
		return
	}
	d := min(p.EjectFor<<min(h.connectFailures, maxEjections), p.UnreachableMax)
	h.connectFailures++
	h.unreachableAt, h.unreachableUntil = now, now.Add(d)
}

// markReached records a response or a report of the target.
func (h *health) markReached(now time.Time) {
	h.connectFailures, h.unreachableUntil, h.reachedAt = 0, time.Time{}, now
}

func (h *health) unreachable(now time.Time) bool { return now.Before(h.unreachableUntil) }

// unreachableFor reports whether connections have failed for longer than d, and none has been made since.
func (h *health) unreachableFor(now time.Time, d time.Duration) bool {
	return h.connectFailures > 1 || h.connectFailures == 1 && now.Sub(h.unreachableAt) > d
}

// unreachableSince returns the time of the last failed connection while the target is not tried
// because of it; else zero.
func (h *health) unreachableSince(now time.Time) time.Time {
	if h.unreachable(now) {
		return h.unreachableAt
	}
	return time.Time{}
}
