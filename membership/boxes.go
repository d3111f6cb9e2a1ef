package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// Contact holds the address and the identity of an entry box.
type Contact struct {
	Box         domain.BoxID
	Address     string
	Incarnation domain.Incarnation
	// Hall is the data hall of the box as reported by a peer that received a message from
	// it; empty if the peer does not have it. Without this field a box that starts among 150
	// takes two seconds to find the boxes of its hall, since few of them contact it directly.
	Hall domain.HallName
}

// StoreProgress is how much of the store's content a box has received.
type StoreProgress struct {
	Config  catalog.Edition // edition of the configuration in force
	Targets store.Position  // position of the last change of a target
	// Evacuations is the position of the last change of an evacuation.
	Evacuations store.Position
}

// later combines the later parts of both.
func (s StoreProgress) later(other StoreProgress) StoreProgress {
	if other.Config.After(s.Config) {
		s.Config = other.Config
	}
	s.Targets = store.Later(s.Targets, other.Targets)
	s.Evacuations = store.Later(s.Evacuations, other.Evacuations)
	return s
}

// Boxes is the table of the other entry boxes. It selects the peers to notify and to pull
// updates from, and counts the boxes that share bounds and limits. It is not safe for
// concurrent use.
type Boxes struct {
	self         domain.BoxID
	rand         *rand.Rand
	boxes        map[domain.BoxID]*peer
	order        []*peer   // all boxes, in an order that Sample shuffles
	forgottenAt  time.Time // when silent boxes were last removed
	firstRoundAt time.Time // time of the first round of adverts; zero before it
	neighbours   neighbours
}

type peer struct {
	contact     Contact
	hall        domain.HallName // empty until the peer or another box reports it
	progress    StoreProgress
	leaving     bool
	ownReportAt time.Time // time of the last report from the peer itself
	lastSeenAt  time.Time // last time that any box received a message from the peer
	knownSince  time.Time // when the peer, or its present incarnation, was first reported
	pulledAt    time.Time // when this box last chose the peer to pull updates from
	share       ShareReport
}

// Times of Boxes.
const (
	// BoundSharerTimeout is how long after the last message that any box received from it a box
	// still counts among those that share a bound. It is long because an isolated box goes on
	// spending its share.
	BoundSharerTimeout = 20 * time.Second
	// ReachableFor is how long after its own last report a box counts as reachable: a few
	// rounds of adverts.
	ReachableFor = 2 * time.Second
	// NewFor is how long a box counts as new: several rounds of adverts.
	NewFor = 4 * time.Second
	// ForgetBoxAfter is how long a box from which no message is received is still contacted.
	ForgetBoxAfter = time.Minute
	// PullDelay is how long a box that is behind a peer waits for the store to send the same
	// update before it pulls it from the peer: a few usual response times of the store.
	PullDelay = 100 * time.Millisecond
	// pullInterval is the pause between two pulls from the same peer.
	pullInterval = 200 * time.Millisecond
)

// NewBoxes returns an empty table for the box self.
func NewBoxes(self domain.BoxID, rnd *rand.Rand) *Boxes {
	return &Boxes{self: self, rand: rnd, boxes: map[domain.BoxID]*peer{}}
}

// Receive records a report that a box sent about itself.
func (b *Boxes) Receive(now time.Time, c Contact, hall domain.HallName, progress StoreProgress, leaving bool) {
	p := b.peer(now, c)
	if p == nil || c.Incarnation < p.contact.Incarnation {
		return
	}
	if c.Incarnation > p.contact.Incarnation {
		p.progress, p.knownSince, p.share = StoreProgress{}, now, ShareReport{}
	}
	p.contact, p.hall, p.leaving = c, hall, leaving
	p.progress = p.progress.later(progress)
	p.ownReportAt, p.lastSeenAt = now, now
}

// LatestIncarnation returns the latest incarnation received of the box; 0 if there is none.
func (b *Boxes) LatestIncarnation(box domain.BoxID) domain.Incarnation {
	if p, ok := b.boxes[box]; ok {
		return p.contact.Incarnation
	}
	return 0
}

// ReceiveIndirect records that, as another box reports, the box c sent that other box a message
// the given time ago.
func (b *Boxes) ReceiveIndirect(now time.Time, c Contact, ago time.Duration) {
	p := b.peer(now, c)
	if p == nil || ago < 0 || c.Incarnation < p.contact.Incarnation {
		return
	}
	if c.Incarnation > p.contact.Incarnation {
		*p = peer{contact: c, knownSince: now, hall: c.Hall}
	}
	if at := now.Add(-ago); at.After(p.lastSeenAt) {
		p.lastSeenAt = at
	}
	if p.hall == "" {
		p.hall = c.Hall
	}
}

// peer finds or adds a box; it returns nil for this box itself.
func (b *Boxes) peer(now time.Time, c Contact) *peer {
	if c.Box == b.self || c.Box == "" {
		return nil
	}
	p, ok := b.boxes[c.Box]
	if !ok {
		p = &peer{contact: c, knownSince: now}
		b.boxes[c.Box] = p
		b.order = append(b.order, p)
	}
	return p
}

// BoundSharers returns the number of boxes, this one included, that share the bounds that hold
// for all boxes together.
func (b *Boxes) BoundSharers(now time.Time) int {
	n := 1
	for _, p := range b.boxes {
		if now.Sub(p.lastSeenAt) < BoundSharerTimeout {
			n++
		}
	}
	return n
}

// Reachable returns the number of boxes, this one included, that have recently reported
// themselves, and the position of this box among them in the order of their names. With more boxes
// than can report themselves within ReachableFor, reports of other boxes count too.
func (b *Boxes) Reachable(now time.Time) (boxes, position int) {
	boxes = 1
	for _, p := range b.order {
		if !b.reaches(now, p) {
			continue
		}
		boxes++
		if p.contact.Box < b.self {
			position++
		}
	}
	return boxes, position
}

// ReachableBoxes returns the boxes that Reachable counts, this one included.
func (b *Boxes) ReachableBoxes(now time.Time) []domain.BoxID {
	list := []domain.BoxID{b.self}
	for _, p := range b.order {
		if b.reaches(now, p) {
			list = append(list, p.contact.Box)
		}
	}
	return list
}

// reaches reports whether the peer is not leaving and has recently reported itself.
func (b *Boxes) reaches(now time.Time, p *peer) bool {
	reported := now.Sub(p.ownReportAt) < ReachableFor || b.large() && now.Sub(p.lastSeenAt) < b.seenFor()
	return reported && !p.leaving
}

// OtherHalls reports whether any box of another data hall has reported itself within
// BoundSharerTimeout, and the time of the last such report.
func (b *Boxes) OtherHalls(now time.Time, hall domain.HallName) (known bool, last time.Time) {
	for _, p := range b.boxes {
		if p.hall == "" || p.hall == hall || now.Sub(p.ownReportAt) > BoundSharerTimeout {
			continue
		}
		known = true
		if p.ownReportAt.After(last) {
			last = p.ownReportAt
		}
	}
	return known, last
}

// Sample returns up to limit boxes chosen at random, and removes the boxes that no box has
// received a message from for ForgetBoxAfter.
func (b *Boxes) Sample(now time.Time, limit int) []Contact {
	if b.firstRoundAt.IsZero() {
		b.firstRoundAt = now
	}
	b.forgetSilent(now)
	list := make([]Contact, 0, min(limit, len(b.order)))
	for i := range min(limit, len(b.order)) {
		j := i + b.rand.IntN(len(b.order)-i)
		b.order[i], b.order[j] = b.order[j], b.order[i]
		list = append(list, b.order[i].contact)
	}
	return list
}

// forgetInterval is the time between two removals of silent boxes.
const forgetInterval = time.Second

// forgetSilent removes the boxes that no box has received a message from for ForgetBoxAfter.
func (b *Boxes) forgetSilent(now time.Time) {
	if now.Sub(b.forgottenAt) < forgetInterval {
		return
	}
	b.forgottenAt = now
	b.order = slices.DeleteFunc(b.order, func(p *peer) bool {
		silent := now.Sub(p.lastSeenAt) > ForgetBoxAfter
		if silent {
			delete(b.boxes, p.contact.Box)
		}
		return silent
	})
}

// each calls visit for all boxes, beginning with a random one, until visit returns false.
func (b *Boxes) each(visit func(*peer) bool) {
	if len(b.order) == 0 {
		return
	}
	first := b.rand.IntN(len(b.order))
	for i := range b.order {
		if !visit(b.order[(first+i)%len(b.order)]) {
			return
		}
	}
}

// PeersToAdvertise returns recently seen boxes, each with the time since its last message: up to
// limit boxes in all, of which up to maxOld, chosen at random, are not new. New boxes are listed
// because other boxes may not have their addresses yet, and a few older ones so that all boxes see
// them as alive. A few suffice, since each box receives adverts from many peers; adverts that listed
// all boxes would be half of the bytes between halls.
//
// In a large fleet, where a box seldom exchanges adverts with most boxes of its own data hall, up to maxOld more
// are listed that are in the hall, for the boxes there.
func (b *Boxes) PeersToAdvertise(now time.Time, hall domain.HallName, limit, maxOld int) map[Contact]time.Duration {
	list := map[Contact]time.Duration{}
	old, oldInHall := maxOld, 0
	if b.large() {
		oldInHall = maxOld
	}
	b.each(func(p *peer) bool {
		ago := now.Sub(p.lastSeenAt)
		switch isNew := now.Sub(p.knownSince) < NewFor; {
		case ago >= BoundSharerTimeout:
			return true
		case isNew:
		case p.hall == hall && oldInHall > 0 && ago < b.seenFor():
			oldInHall--
		case old > 0:
			old--
		default:
			return true
		}
		c := p.contact
		c.Hall = p.hall
		list[c] = ago
		return len(list) < limit
	})
	return list
}

// ChoosePullPeer returns a box that is ahead of own, if this box should no longer wait for the
// store. behindSince is when this box found that it is behind; zero if it is not.
func (b *Boxes) ChoosePullPeer(now time.Time, own StoreProgress, behindSince time.Time) (Contact, bool) {
	if behindSince.IsZero() || now.Sub(behindSince) < PullDelay {
		return Contact{}, false
	}
	var best *peer
	for _, p := range b.boxes {
		if !p.progress.newerThan(own) || now.Sub(p.pulledAt) < pullInterval {
			continue
		}
		if best == nil || p.ownReportAt.After(best.ownReportAt) {
			best = p
		}
	}
	if best == nil {
		return Contact{}, false
	}
	best.pulledAt = now
	return best.contact, true
}

// Behind reports whether any box has something newer than own.
func (b *Boxes) Behind(own StoreProgress) bool {
	for _, p := range b.boxes {
		if p.progress.newerThan(own) {
			return true
		}
	}
	return false
}

func (s StoreProgress) newerThan(own StoreProgress) bool {
	return s.Config.After(own.Config) || s.Targets.After(own.Targets) || s.Evacuations.After(own.Evacuations)
}

// InHall returns the recently seen boxes of the data hall that are not leaving, in random
// order. Boxes of different halls seldom send adverts to each other directly, so a message that
// another box received counts too, and counts for longer.
func (b *Boxes) InHall(now time.Time, hall domain.HallName) []Contact {
	var list []Contact
	b.each(func(p *peer) bool {
		if p.hall == hall && !p.leaving && now.Sub(p.lastSeenAt) < b.seenFor() {
			list = append(list, p.contact)
		}
		return true
	})
	b.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// seenFor is how long a message that any box received from a box shows that it is there.
func (b *Boxes) seenFor() time.Duration {
	return max(2*ReachableFor, time.Duration(len(b.order))*reportPeriodPerBox)
}
