package membership

import "time"

// health is how attempts at a target, or at a whole service, have ended.
type health struct {
	failShare   float64 // smoothed
	samples     int
	ejections   int
	ejectedTo   time.Time
	probationTo time.Time // until when it is on probation after boxes reported it

	turned   int       // attempts in a row that it turned away for want of room
	turnedTo time.Time // until when it is taken to have none

	misses    int       // times in a row that it could not be reached
	missedAt  time.Time // the last of them
	missingTo time.Time // until when it is not tried
	reachedAt time.Time // its last sign of life
}

const (
	healthSmoothing = 0.2 // weight of one more attempt in the share of failures
	healthSamples   = 4   // attempts before a share of failures means something
	maxEjections    = 8   // doublings of an ejection
	maxTurned       = 8   // doublings of the time for which a target is taken to have no room
)

func (h *health) add(failed bool) {
	weight := max(healthSmoothing, 1/float64(h.samples+1))
	sample := 0.0
	if failed {
		sample = 1
	}
	h.samples++
	h.failShare += weight * (sample - h.failShare)
}

func (h *health) succeeded(now time.Time) {
	h.reached(now)
	h.turned = 0
	if h.failShare < healthSmoothing {
		h.ejections = 0
	}
}

// worse reports that it fails more often than the whole by more than the share.
func (h *health) worse(whole *health, share float64) bool {
	return h.samples >= healthSamples && h.failShare > whole.failShare+share
}

func (h *health) eject(now time.Time, p RosterPolicy) {
	if h.ejected(now) {
		return
	}
	d := min(p.EjectFor<<min(h.ejections, maxEjections), p.EjectMax)
	h.ejections++
	h.ejectedTo = now.Add(d)
	h.samples, h.failShare = 0, 0
}

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedTo) }

// probation is how long after its ejection a reported target is on probation: several
// times what a box that takes it back needs to find out that it still fails.
const probation = 5 * time.Second

// ejectReported ejects a target that several boxes report failures of.
func (h *health) ejectReported(now time.Time, p RosterPolicy) {
	d := min(p.PeerEjectFor<<min(h.ejections, maxEjections), p.EjectMax)
	h.ejections++
	h.ejectedTo = now.Add(d + time.Duration(p.Spread*float64(d)))
	h.probationTo = h.ejectedTo.Add(probation)
	h.samples, h.failShare = 0, 0
}

func (h *health) onProbation(now time.Time) bool { return now.Before(h.probationTo) }

// turnAway takes that the target turned an attempt away for want of room. The first counts
// against it already: one that turns all away has nothing open, and draws the load.
func (h *health) turnAway(now time.Time, p RosterPolicy) {
	if h.full(now) {
		return // what was under way as the first was turned away reports nothing new
	}
	h.turnedTo = now.Add(min(p.RejectedFor<<min(h.turned, maxTurned), p.RejectedMax))
	h.turned++
}

func (h *health) full(now time.Time) bool { return now.Before(h.turnedTo) }

// unreach takes that no connection could be made.
func (h *health) unreach(now time.Time, p RosterPolicy) {
	if h.unreachable(now) {
		return
	}
	d := min(p.EjectFor<<min(h.misses, maxEjections), p.UnreachableMax)
	h.misses++
	h.missedAt, h.missingTo = now, now.Add(d)
}

// reached takes a sign of life.
func (h *health) reached(now time.Time) { h.misses, h.missingTo, h.reachedAt = 0, time.Time{}, now }

func (h *health) unreachable(now time.Time) bool { return now.Before(h.missingTo) }

// missingAt is when it was last found out of reach; zero if that is over.
func (h *health) missingAt(now time.Time) time.Time {
	if h.unreachable(now) {
		return h.missedAt
	}
	return time.Time{}
}
