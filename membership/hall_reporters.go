package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// HallReporters decides from whom a box learns how targets do. Those of its own data hall it
// asks itself. Of another hall it asks one entry box there, which reports on all targets
// of that hall at once; only a target of which that box has no fresh report is asked
// itself. So the bytes between halls do not grow with boxes times targets.
//
// It does no I/O and is not safe for concurrent use.
type HallReporters struct {
	own      domain.HallName
	role     Role
	halls    map[domain.HallName]*outpost
	received map[domain.InstanceID]time.Time // when another box last received a report of a target
}

// outpost is the entry box that reports on a hall.
type outpost struct {
	box        domain.BoxID // that answered last; empty if none does
	failed     domain.BoxID // that did not answer last; empty if the last one did
	receivedAt time.Time    // when another box last received a report of a target of the hall
}

// NewHallReporters returns the outlook of a box in the hall.
func NewHallReporters(own domain.HallName) *HallReporters {
	return &HallReporters{own: own, halls: map[domain.HallName]*outpost{}, received: map[domain.InstanceID]time.Time{}}
}

func (o *HallReporters) outpost(h domain.HallName) *outpost {
	p, ok := o.halls[h]
	if !ok {
		p = &outpost{}
		o.halls[h] = p
	}
	return p
}

// Choose is the box to ask about the hall, of those there that are in touch: the one
// that answered last, or else any but the one that just did not. false if there is none.
func (o *HallReporters) Choose(h domain.HallName, there []Contact) (Contact, bool) {
	p := o.outpost(h)
	var other Contact
	for _, c := range there {
		if c.Box == p.box {
			return c, true
		}
		if other.Box == "" || other.Box == p.failed {
			other = c
		}
	}
	return other, other.Box != ""
}

// Answered takes that the box reported on its hall. The result reports that it is another box
// than before.
func (o *HallReporters) Answered(h domain.HallName, by domain.BoxID) bool {
	p := o.outpost(h)
	moved := p.box != by
	p.box, p.failed = by, ""
	return moved
}

// Failed takes that the box did not report on its hall. The result reports that it was the
// one that reported until now.
func (o *HallReporters) Failed(h domain.HallName, box domain.BoxID) bool {
	p := o.outpost(h)
	lost := p.box != ""
	p.box, p.failed = "", box
	return lost
}

// Received takes that another box received a report of the target of the hall at the time.
func (o *HallReporters) Received(h domain.HallName, id domain.InstanceID, at time.Time) {
	if at.After(o.received[id]) {
		o.received[id] = at
	}
	if p := o.outpost(h); at.After(p.receivedAt) {
		p.receivedAt = at
	}
}

// SetRole sets the role of this box in its hall.
func (o *HallReporters) SetRole(r Role) { o.role = r }

// ShouldQueryTarget reports whether this box is to ask the target itself: it stands in the own hall and
// no hub asks it, nobody reports on its hall, or who does has received nothing of it for so long. A
// follower whose hub is lost does not ask at once: another hub reports meanwhile, and
// all followers of a hall would ask all targets.
func (o *HallReporters) ShouldQueryTarget(now time.Time, h domain.HallName, id domain.InstanceID, old time.Duration) bool {
	unheard := now.Sub(o.received[id])
	switch {
	case o.role != Follower:
		return h == o.own || o.outpost(h).box == "" || unheard > old
	case h == o.own:
		return unheard > old
	default:
		return unheard > 2*old // boxes there are asked first
	}
}

// ShouldQueryPeer reports whether this box is to ask another how the targets of the hall do. A
// follower asks a hub of its own hall, and boxes of another hall only while the hubs have
// no fresh news of that.
func (o *HallReporters) ShouldQueryPeer(now time.Time, h domain.HallName, old time.Duration) bool {
	switch {
	case h == o.own:
		return o.role == Follower
	case o.role == Follower:
		return now.Sub(o.outpost(h).receivedAt) > old
	default:
		return true
	}
}

// Forget drops what is known of targets that are not in keep.
func (o *HallReporters) Forget(keep func(domain.InstanceID) bool) {
	for id := range o.received {
		if !keep(id) {
			delete(o.received, id)
		}
	}
}
