package membership

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// FailureReports are which boxes a target has lately let down, as boxes notify each other.
//
// Where dozens of boxes share dozens of targets, none of them sends enough to one target
// to tell from its own requests that this one fails: each meets it once in many seconds. Together
// they meet it several times a second, and a rank that answers nobody is out of use soon after the
// first who waited for it in vain.
//
// It is not safe for concurrent use.
type FailureReports struct {
	self    domain.BoxID
	against map[domain.InstanceID]map[domain.BoxID]time.Time
}

// FailureReport is that a target let a box down.
type FailureReport struct {
	Target domain.InstanceID
	By     domain.BoxID
	At     time.Time
}

const (
	// reportFor is how long a failure report counts: a target that fails every request
	// meets several boxes in that time where it gets a few requests a second.
	reportFor = 2 * time.Second
	// reportersNeeded are how many boxes must report failures of a target to eject it: two fall into
	// reportFor by chance where some requests fail everywhere.
	reportersNeeded = 3
	// tellEach is how many failure reports of one target are passed on: more say nothing new.
	tellEach = reportersNeeded
	// tellMost is how many failure reports one message has, the latest: as many as say all of an
	// eighth of a hundred targets, in a kilobyte.
	tellMost = 40
	// reportedMost is the share of a service's targets that may be reported for any
	// to be ejected. Where more are, the trouble is one that they share, as when their
	// group stands still.
	reportedMost = 1.0 / 3
)

// NewFailureReports returns those of a box that nobody let down.
func NewFailureReports(self domain.BoxID) *FailureReports {
	return &FailureReports{self: self, against: map[domain.InstanceID]map[domain.BoxID]time.Time{}}
}

// AddOwn takes that the target let this box down. It reports whether others should learn of it
// at once: it is the first time for so long.
func (c *FailureReports) AddOwn(now time.Time, id domain.InstanceID) bool {
	before, known := c.against[id][c.self]
	c.add(FailureReport{Target: id, By: c.self, At: now})
	return !known || now.Sub(before) > reportFor
}

// Receive takes another box's failure report, made at the time.
func (c *FailureReports) Receive(x FailureReport) {
	if x.By != c.self {
		c.add(x)
	}
}

func (c *FailureReports) add(x FailureReport) {
	by, ok := c.against[x.Target]
	if !ok {
		by = map[domain.BoxID]time.Time{}
		c.against[x.Target] = by
	}
	if x.At.After(by[x.By]) {
		by[x.By] = x.At
	}
}

// ClearOwn takes that the target served this box, which reports no more failures.
func (c *FailureReports) ClearOwn(id domain.InstanceID) { delete(c.against[id], c.self) }

// CountReporters is how many boxes report failures of the target since the time.
func (c *FailureReports) CountReporters(now time.Time, id domain.InstanceID, since time.Time) int {
	n := 0
	for _, at := range c.against[id] {
		if now.Sub(at) <= reportFor && at.After(since) {
			n++
		}
	}
	return n
}

// Latest are the failure reports that count, for other boxes: the latest of each target.
func (c *FailureReports) Latest(now time.Time) []FailureReport {
	var list []FailureReport
	for id, by := range c.against {
		var of []FailureReport
		for box, at := range by {
			if now.Sub(at) > reportFor {
				delete(by, box)
				continue
			}
			of = append(of, FailureReport{Target: id, By: box, At: at})
		}
		if len(by) == 0 {
			delete(c.against, id)
		}
		slices.SortFunc(of, func(x, y FailureReport) int {
			return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.By, y.By))
		})
		list = append(list, of[:min(tellEach, len(of))]...)
	}
	slices.SortFunc(list, func(x, y FailureReport) int {
		return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Target, y.Target), cmp.Compare(x.By, y.By))
	})
	return list[:min(tellMost, len(list))]
}
