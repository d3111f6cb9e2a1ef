package membership

import (
	"math/rand/v2"
	"sort"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// Contact is how an entry box is reached.
type Contact struct {
	Box         domain.BoxID
	Address     string
	Incarnation domain.Incarnation
	// Hall is where the box stands, as others say who heard it; empty if they do not know.
	// Without it a box that starts among 150 takes two seconds to know those of its hall,
	// since few of them speak to it themselves.
	Hall domain.HallName
}

// StoreProgress is how far a box knows what the store holds.
type StoreProgress struct {
	Config  catalog.Edition // of the configuration in force there
	Targets store.Position  // of the last change of a target that it knows
}

// later has the later configuration and the later list of the two.
func (l StoreProgress) later(other StoreProgress) StoreProgress {
	if other.Config.After(l.Config) {
		l.Config = other.Config
	}
	l.Targets = store.Later(l.Targets, other.Targets)
	return l
}

// Boxes are the other entry boxes as one of them sees them: whom to notify, whom
// to ask for news, and how many share what is bounded for all. It is not safe for
// concurrent use.
type Boxes struct {
	self  domain.BoxID
	rand  *rand.Rand
	boxes map[domain.BoxID]*peer
	since time.Time // the first round of adverts was; zero before
}

type peer struct {
	contact  Contact
	hall     domain.HallName // empty until it spoke for itself
	level    StoreProgress
	leaving  bool
	directAt time.Time // its own last report
	heardAt  time.Time // the last news of it, from whomever
	newAt    time.Time // it, or its present process, became known
	askedAt  time.Time // it was last asked for news
	share    ShareReport
}

// Times of Boxes.
const (
	// BoundSharerTimeout is how long after its last report a box still counts among those that
	// share a bound. It is long: a box that is cut off goes on spending its share.
	BoundSharerTimeout = 20 * time.Second
	// ReachableFor is how long after its own last report a box is in touch: a few rounds of
	// adverts.
	ReachableFor = 2 * time.Second
	// NewFor is how long a box counts as new: several rounds of adverts.
	NewFor = 4 * time.Second
	// ForgetBoxAfter is how long a box that nobody hears is still tried.
	ForgetBoxAfter = time.Minute
	// PullDelay is how long a box that learns from a peer that it is behind waits for
	// the store to tell it the same: a few of the store's usual answers.
	PullDelay = 100 * time.Millisecond
	// askAgain is the pause between two questions to the same peer.
	askAgain = 200 * time.Millisecond
)

// NewBoxes returns the table of a box that knows no other.
func NewBoxes(self domain.BoxID, rnd *rand.Rand) *Boxes {
	return &Boxes{self: self, rand: rnd, boxes: map[domain.BoxID]*peer{}}
}

// Receive takes a box's own report.
func (b *Boxes) Receive(now time.Time, c Contact, hall domain.HallName, l StoreProgress, leaving bool) {
	p := b.peer(now, c)
	if p == nil || c.Incarnation < p.contact.Incarnation {
		return
	}
	if c.Incarnation > p.contact.Incarnation {
		p.level, p.newAt, p.share = StoreProgress{}, now, ShareReport{}
	}
	p.contact, p.hall, p.leaving = c, hall, leaving
	p.level = p.level.later(l)
	p.directAt, p.heardAt = now, now
}

// LatestIncarnation is the latest incarnation of the box that was learned of; 0 if none was.
func (b *Boxes) LatestIncarnation(box domain.BoxID) domain.Incarnation {
	if p, ok := b.boxes[box]; ok {
		return p.contact.Incarnation
	}
	return 0
}

// ReceiveIndirect takes another box's report that it received something from a box so long ago.
func (b *Boxes) ReceiveIndirect(now time.Time, c Contact, ago time.Duration) {
	p := b.peer(now, c)
	if p == nil || ago < 0 || c.Incarnation < p.contact.Incarnation {
		return
	}
	if c.Incarnation > p.contact.Incarnation {
		*p = peer{contact: c, newAt: now, hall: c.Hall}
	}
	if at := now.Add(-ago); at.After(p.heardAt) {
		p.heardAt = at
	}
	if p.hall == "" {
		p.hall = c.Hall
	}
}

// peer finds or adds a box; nil for this box itself.
func (b *Boxes) peer(now time.Time, c Contact) *peer {
	if c.Box == b.self || c.Box == "" {
		return nil
	}
	p, ok := b.boxes[c.Box]
	if !ok {
		p = &peer{contact: c, newAt: now}
		b.boxes[c.Box] = p
	}
	return p
}

// BoundSharers is how many boxes share what is bounded for all, this one included.
func (b *Boxes) BoundSharers(now time.Time) int {
	n := 1
	for _, p := range b.boxes {
		if now.Sub(p.heardAt) < BoundSharerTimeout {
			n++
		}
	}
	return n
}

// Reachable is how many boxes, this one included, have lately spoken for themselves, and
// how many of them come before this one in the order of their names.
func (b *Boxes) Reachable(now time.Time) (boxes, place int) {
	boxes = 1
	for id, p := range b.boxes {
		if p.leaving || now.Sub(p.directAt) >= ReachableFor {
			continue
		}
		boxes++
		if id < b.self {
			place++
		}
	}
	return boxes, place
}

// OtherHalls reports whether boxes of other data halls are known, and when one of them
// last reported about itself.
func (b *Boxes) OtherHalls(now time.Time, hall domain.HallName) (known bool, last time.Time) {
	for _, p := range b.boxes {
		if p.hall == "" || p.hall == hall || now.Sub(p.directAt) > BoundSharerTimeout {
			continue
		}
		known = true
		if p.directAt.After(last) {
			last = p.directAt
		}
	}
	return known, last
}

// Sample draws so many boxes, and forgets those of which nothing was received for long.
func (b *Boxes) Sample(now time.Time, most int) []Contact {
	if b.since.IsZero() {
		b.since = now
	}
	list := make([]Contact, 0, len(b.boxes))
	for id, p := range b.boxes {
		if now.Sub(p.heardAt) > ForgetBoxAfter {
			delete(b.boxes, id)
			continue
		}
		list = append(list, p.contact)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Box < list[j].Box })
	b.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(most, len(list))]
}

// PeersToAdvertise are boxes that were lately in touch, with how long ago, for passing on: up to most of those
// that are new, since others may not know how to reach them, and up to few of the rest,
// drawn by chance, so that all are known to live. Others hear them from many boxes, and adverts
// that named them all would be half of the bytes between halls.
func (b *Boxes) PeersToAdvertise(now time.Time, most, few int) map[Contact]time.Duration {
	list := map[Contact]time.Duration{}
	rest := 0
	for _, c := range b.Sample(now, len(b.boxes)) {
		p := b.boxes[c.Box]
		ago := now.Sub(p.heardAt)
		if ago >= BoundSharerTimeout || len(list) >= most {
			continue
		}
		if now.Sub(p.newAt) >= NewFor {
			if rest >= few {
				continue
			}
			rest++
		}
		c.Hall = p.hall
		list[c] = ago
	}
	return list
}

// ChoosePullPeer chooses a box that knows more than own, if this box should no longer wait for
// the store. behind is since when it knows that it is behind.
func (b *Boxes) ChoosePullPeer(now time.Time, own StoreProgress, behind time.Time) (Contact, bool) {
	if behind.IsZero() || now.Sub(behind) < PullDelay {
		return Contact{}, false
	}
	var best *peer
	for _, p := range b.boxes {
		if !p.level.ahead(own) || now.Sub(p.askedAt) < askAgain {
			continue
		}
		if best == nil || p.directAt.After(best.directAt) {
			best = p
		}
	}
	if best == nil {
		return Contact{}, false
	}
	best.askedAt = now
	return best.contact, true
}

// Behind reports whether any box knows more than own.
func (b *Boxes) Behind(own StoreProgress) bool {
	for _, p := range b.boxes {
		if p.level.ahead(own) {
			return true
		}
	}
	return false
}

func (l StoreProgress) ahead(own StoreProgress) bool {
	return l.Config.After(own.Config) || l.Targets.After(own.Targets)
}

// InHall are the boxes of the data hall that were lately learned of and are not leaving, in an
// order that chance changes. Boxes of other halls seldom hear each other directly, so
// another's news of one counts here, for twice as long as a box's own.
func (b *Boxes) InHall(now time.Time, hall domain.HallName) []Contact {
	var list []Contact
	for _, c := range b.Sample(now, len(b.boxes)) {
		if p := b.boxes[c.Box]; p.hall == hall && !p.leaving && now.Sub(p.heardAt) < 2*ReachableFor {
			list = append(list, c)
		}
	}
	return list
}
