package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

const (
	// advertInterval is the time between two rounds of adverts. Updates are sent at once; the
	// rounds are for boxes that missed them.
	advertInterval = 500 * time.Millisecond
	// seedInterval is the time between two adverts to the seeds by a box that has other peers:
	// the seeds reconnect parts of the system that have lost contact with each other.
	seedInterval = 5 * time.Second
	// allWorksInterval is the time between two rounds in which a box reports all works in
	// quarantine. A box that was cut off has to catch up within this time, and on average receives
	// the works from several others in it.
	allWorksInterval = 3 * time.Second
)

// AdvertRounds decides when a box sends adverts, to which boxes and with what, and from which box it pulls
// what it lacks.
//
// It does no I/O and is not safe for concurrent use. Its table of the boxes may be used beside it.
type AdvertRounds struct {
	hall         domain.HallName
	boxes        *Boxes
	nextFullAt   time.Time // when the next full round is due
	nextSeedsAt  time.Time // until when the seeds are sent no adverts if there are other peers
	nextWorksAt  time.Time // when all works are reported again
	behindSince  time.Time // when this box was first behind another; zero if it is not
	boundSharers int       // the number of boxes that share bounds, as last reported
	sharersKnown bool      // whether that number is known; false in the first rounds
	hasAllLimits bool      // a box that has run for a while has sent this one all limits
}

// Round is what a box does in one round.
type Round struct {
	// Full states that the adverts list other boxes, besides updates.
	Full bool
	// AllWorks states that the adverts report all works in quarantine, besides the recent ones.
	AllWorks bool
	Adverts  []AdvertTo
	// SharersChanged states that the number of boxes that share bounds is another than in the round before, or is
	// known now.
	SharersChanged         bool
	Sharers, SharersBefore int
}

// AdvertTo is an advert of a round.
type AdvertTo struct {
	Address string
	// Counts states that the advert has the counts of requests. That to a seed does not, as the seed may be a
	// box that is sent them already.
	Counts bool
}

// NewAdvertRounds returns the state of a box in the hall that has sent no adverts.
func NewAdvertRounds(hall domain.HallName, b *Boxes) *AdvertRounds {
	return &AdvertRounds{hall: hall, boxes: b, boundSharers: 1}
}

// Begin begins a round: a full one if it is due, else one for updates only. The seeds are addresses at which the
// box finds others.
func (r *AdvertRounds) Begin(now time.Time, seeds []string) Round {
	round := Round{Full: !now.Before(r.nextFullAt)}
	if round.Full {
		r.nextFullAt = now.Add(advertInterval)
	}
	round.Adverts = r.adverts(now, seeds, round.Full)
	round.SharersBefore = r.boundSharers
	round.Sharers = r.boxes.BoundSharers(now)
	if round.Sharers != r.boundSharers || !r.sharersKnown && r.boxes.Settled(now) {
		r.boundSharers, r.sharersKnown, round.SharersChanged = round.Sharers, true, true
	}
	if round.AllWorks = !now.Before(r.nextWorksAt); round.AllWorks {
		r.nextWorksAt = now.Add(allWorksInterval)
	}
	return round
}

// adverts returns the adverts to some boxes, and to the seeds if there is no box or they were sent none lately.
func (r *AdvertRounds) adverts(now time.Time, seeds []string, full bool) []AdvertTo {
	var list []AdvertTo
	for _, c := range r.boxes.PeersForAdvert(now, r.hall, full) {
		list = append(list, AdvertTo{Address: c.Address, Counts: true})
	}
	if len(seeds) == 0 || len(list) > 0 && !now.After(r.nextSeedsAt) {
		return list
	}
	r.nextSeedsAt = now.Add(seedInterval)
	for _, address := range seeds {
		list = append(list, AdvertTo{Address: address})
	}
	return list
}

// NextFullAt returns when the next full round is due.
func (r *AdvertRounds) NextFullAt() time.Time { return r.nextFullAt }

// BoundSharers returns how many boxes share the bounds, including this one, as of the last round.
func (r *AdvertRounds) BoundSharers() int { return r.boundSharers }

// Replied records the reply to an advert, with the share report of its sender: a box that has run for a while
// sends all limits with its reply.
func (r *AdvertRounds) Replied(share ShareReport) {
	r.hasAllLimits = r.hasAllLimits || share.Settled
}

// NeedsAllLimits reports whether the box asks for all limits: none that has run for a while has replied yet.
func (r *AdvertRounds) NeedsAllLimits() bool { return !r.hasAllLimits }

// TrackBehind records whether the box is behind another. It returns true if it was not before: a round is due
// after PullDelay then.
func (r *AdvertRounds) TrackBehind(now time.Time, own StoreProgress) (began bool) {
	if !r.boxes.Behind(own) {
		r.behindSince = time.Time{}
		return false
	}
	if !r.behindSince.IsZero() {
		return false
	}
	r.behindSince = now
	return true
}

// PullPeer returns a box to pull updates from; false if there is none, or if the store may still send them.
func (r *AdvertRounds) PullPeer(now time.Time, own StoreProgress) (Contact, bool) {
	return r.boxes.ChoosePullPeer(now, own, r.behindSince)
}

// Isolated reports whether the box knows boxes of other data halls and has received nothing from any of them
// for longer than ReachableFor.
func (r *AdvertRounds) Isolated(now time.Time) bool {
	known, last := r.boxes.OtherHalls(now, r.hall)
	return known && now.Sub(last) > ReachableFor
}

// TrialBoxes returns the boxes of which one may try a work in quarantine, this one included; none while this box
// is leaving, or does not know the others yet.
func (r *AdvertRounds) TrialBoxes(now time.Time, leaving bool) []domain.BoxID {
	if leaving || !r.boxes.Settled(now) {
		return nil
	}
	return r.boxes.ReachableBoxes(now)
}
