package membership

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// Complaints are which boxes a target has lately let down, as boxes notify each other.
//
// Where dozens of boxes share dozens of targets, none of them sends enough to one target
// to tell from its own requests that this one fails: each meets it once in many seconds. Together
// they meet it several times a second, and a rank that answers nobody is out of use soon after the
// first who waited for it in vain.
//
// It is not safe for concurrent use.
type Complaints struct {
	self    domain.BoxID
	against map[domain.InstanceID]map[domain.BoxID]time.Time
}

// Complaint is that a target let a box down.
type Complaint struct {
	Target domain.InstanceID
	By     domain.BoxID
	At     time.Time
}

const (
	// complaintFor is how long a complaint counts: a target that fails every request
	// meets several boxes in that time where it gets a few requests a second.
	complaintFor = 2 * time.Second
	// accusers are how many boxes must complain for a target to be accused: two fall into
	// complaintFor by chance where some requests fail everywhere.
	accusers = 3
	// tellEach is how many complaints of one target are passed on: more say nothing new.
	tellEach = accusers
	// tellMost is how many complaints one message has, the latest: as many as say all of an
	// eighth of a hundred targets, in a kilobyte.
	tellMost = 40
	// blamedMost is the share of a service's targets that may be complained of for any
	// to be accused. Where more are, the trouble is one that they share, as when their
	// group stands still.
	blamedMost = 1.0 / 3
)

// NewComplaints returns those of a box that nobody let down.
func NewComplaints(self domain.BoxID) *Complaints {
	return &Complaints{self: self, against: map[domain.InstanceID]map[domain.BoxID]time.Time{}}
}

// Own takes that the target let this box down. It reports whether others should learn of it
// at once: it is the first time for so long.
func (c *Complaints) Own(now time.Time, id domain.InstanceID) bool {
	before, known := c.against[id][c.self]
	c.add(Complaint{Target: id, By: c.self, At: now})
	return !known || now.Sub(before) > complaintFor
}

// Heard takes another box's complaint, made at the time.
func (c *Complaints) Heard(x Complaint) {
	if x.By != c.self {
		c.add(x)
	}
}

func (c *Complaints) add(x Complaint) {
	by, ok := c.against[x.Target]
	if !ok {
		by = map[domain.BoxID]time.Time{}
		c.against[x.Target] = by
	}
	if x.At.After(by[x.By]) {
		by[x.By] = x.At
	}
}

// Served takes that the target served this box, which complains no more.
func (c *Complaints) Served(id domain.InstanceID) { delete(c.against[id], c.self) }

// Against is how many boxes complain of the target since the time.
func (c *Complaints) Against(now time.Time, id domain.InstanceID, since time.Time) int {
	n := 0
	for _, at := range c.against[id] {
		if now.Sub(at) <= complaintFor && at.After(since) {
			n++
		}
	}
	return n
}

// Tell are the complaints that count, for other boxes: the latest of each target.
func (c *Complaints) Tell(now time.Time) []Complaint {
	var list []Complaint
	for id, by := range c.against {
		var of []Complaint
		for box, at := range by {
			if now.Sub(at) > complaintFor {
				delete(by, box)
				continue
			}
			of = append(of, Complaint{Target: id, By: box, At: at})
		}
		if len(by) == 0 {
			delete(c.against, id)
		}
		slices.SortFunc(of, func(x, y Complaint) int {
			return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.By, y.By))
		})
		list = append(list, of[:min(tellEach, len(of))]...)
	}
	slices.SortFunc(list, func(x, y Complaint) int {
		return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Target, y.Target), cmp.Compare(x.By, y.By))
	})
	return list[:min(tellMost, len(list))]
}
