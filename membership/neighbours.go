package membership

import (
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

const (
	// AdvertFanout is how many boxes are sent an advert in a round. If there are more boxes, updates
	// spread over a few rounds; each box sends the same number of adverts however many boxes there are.
	AdvertFanout = 8
	// farNeighbours is how many of them are in other data halls: updates reach each hall through
	// several boxes, and most of the bytes stay within halls.
	farNeighbours = 3
	// directRounds is the number of rounds within ReachableFor, in each of which a box receives adverts from
	// AdvertFanout boxes that it calls and, on average, from as many that call it.
	directRounds = 4
)

// neighbours are the boxes that a box of a large fleet sends its adverts to. It keeps them over many
// rounds, and replaces one in each, so that it keeps a connection to a few dozen boxes and not to all.
type neighbours struct {
	boxes []*peer // longest kept first
}

// large reports whether there are more boxes than a box can receive adverts from within ReachableFor.
func (b *Boxes) large() bool { return len(b.order) >= 2*directRounds*AdvertFanout }

// PeersForAdvert returns the boxes to send an advert to in this round: random ones or, in a large fleet,
// the neighbours of this box, most of them in its data hall. replace states whether the longest kept one
// is replaced first; a round that only sends updates keeps all.
func (b *Boxes) PeersForAdvert(now time.Time, hall domain.HallName, replace bool) []Contact {
	sample := b.Sample(now, AdvertFanout) // also removes silent boxes
	if !b.large() {
		return sample
	}
	n := &b.neighbours
	n.boxes = slices.DeleteFunc(n.boxes, func(p *peer) bool { return p.leaving || b.boxes[p.contact.Box] != p })
	if replace && len(n.boxes) >= AdvertFanout {
		n.boxes = n.boxes[1:]
	}
	b.addNeighbours(now, AdvertFanout-farNeighbours, func(p *peer) bool { return p.hall == hall })
	b.addNeighbours(now, farNeighbours, func(p *peer) bool { return p.hall != hall })
	b.addNeighbours(now, AdvertFanout, func(*peer) bool { return true }) // while few boxes of the hall are known
	list := make([]Contact, 0, len(n.boxes))
	for _, p := range n.boxes {
		list = append(list, p.contact)
	}
	return list
}

// addNeighbours adds boxes of a kind until there are as many of it as wanted, and no more than AdvertFanout
// in all.
func (b *Boxes) addNeighbours(now time.Time, wanted int, ofKind func(*peer) bool) {
	n := &b.neighbours
	for _, p := range n.boxes {
		if ofKind(p) {
			wanted--
		}
	}
	b.each(func(p *peer) bool {
		if wanted <= 0 || len(n.boxes) >= AdvertFanout {
			return false
		}
		if ofKind(p) && !p.leaving && now.Sub(p.lastSeenAt) < b.seenFor() && !slices.Contains(n.boxes, p) {
			n.boxes = append(n.boxes, p)
			wanted--
		}
		return true
	})
}
