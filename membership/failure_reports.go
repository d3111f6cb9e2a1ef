package membership

import (
	"cmp"
	"slices"
	"time"

	"clovertrail.dev/core/domain"
)

// FailureReports is the table of the recent failures of targets, as boxes report them to each
// other.
//
// Where dozens of boxes share dozens of targets, no box sends enough requests to one target to
// detect its failure alone: each box sends the target one request in many seconds. All boxes
// together send it several a second, so a rank that answers no requests is ejected soon after the
// first request to it has timed out.
//
// It is not safe for concurrent use.
type FailureReports struct {
	self     domain.BoxID
	byTarget map[domain.InstanceID]map[domain.BoxID]time.Time
}

// FailureReport states that a request of the box By failed at the target.
type FailureReport struct {
	Target domain.InstanceID
	By     domain.BoxID
	At     time.Time
}

const (
	// failureReportTTL is how long a failure report counts: a target that fails every request, and
	// gets a few requests a second, fails requests of several boxes in that time.
	failureReportTTL = 2 * time.Second
	// reportersNeeded is the number of boxes that must report failures of a target to eject it.
	// Two reports coincide within failureReportTTL by chance where some requests fail everywhere.
	reportersNeeded = 3
	// maxReportsPerTarget is the number of failure reports of one target that are sent to other
	// boxes: more would have no effect there.
	maxReportsPerTarget = reportersNeeded
	// maxReportsPerMessage is the number of failure reports in one message, the latest ones: enough
	// for an eighth of a hundred targets with maxReportsPerTarget each, in a kilobyte.
	maxReportsPerMessage = 40
	// maxReportedShare is the share of a service's targets up to which reported targets are
	// ejected. If more are reported, the targets have a common fault, for example that their group
	// is stalled.
	maxReportedShare = 1.0 / 3
)

// NewFailureReports returns the empty table of the box self.
func NewFailureReports(self domain.BoxID) *FailureReports {
	return &FailureReports{self: self, byTarget: map[domain.InstanceID]map[domain.BoxID]time.Time{}}
}

// AddOwn records that a request of this box failed at the target. It returns true if other boxes
// should be notified at once: this box had no report of the target that still counts.
func (c *FailureReports) AddOwn(now time.Time, id domain.InstanceID) bool {
	before, known := c.byTarget[id][c.self]
	c.add(FailureReport{Target: id, By: c.self, At: now})
	return !known || now.Sub(before) > failureReportTTL
}

// Receive records another box's failure report.
func (c *FailureReports) Receive(x FailureReport) {
	if x.By != c.self {
		c.add(x)
	}
}

func (c *FailureReports) add(x FailureReport) {
	byBox, ok := c.byTarget[x.Target]
	if !ok {
		byBox = map[domain.BoxID]time.Time{}
		c.byTarget[x.Target] = byBox
	}
	if x.At.After(byBox[x.By]) {
		byBox[x.By] = x.At
	}
}

// ClearOwn deletes this box's own report of the target, after the target has served a request.
func (c *FailureReports) ClearOwn(id domain.InstanceID) { delete(c.byTarget[id], c.self) }

// CountReporters returns the number of boxes with a failure report of the target that still counts
// and was made after since.
func (c *FailureReports) CountReporters(now time.Time, id domain.InstanceID, since time.Time) int {
	n := 0
	for _, at := range c.byTarget[id] {
		if now.Sub(at) <= failureReportTTL && at.After(since) {
			n++
		}
	}
	return n
}

// Latest returns the failure reports to send to other boxes, the latest first. It deletes those
// that no longer count.
func (c *FailureReports) Latest(now time.Time) []FailureReport {
	var list []FailureReport
	for id, byBox := range c.byTarget {
		var reports []FailureReport
		for box, at := range byBox {
			if now.Sub(at) > failureReportTTL {
				delete(byBox, box)
				continue
			}
			reports = append(reports, FailureReport{Target: id, By: box, At: at})
		}
		if len(byBox) == 0 {
			delete(c.byTarget, id)
		}
		slices.SortFunc(reports, func(x, y FailureReport) int {
			return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.By, y.By))
		})
		list = append(list, reports[:min(maxReportsPerTarget, len(reports))]...)
	}
	slices.SortFunc(list, func(x, y FailureReport) int {
		return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Target, y.Target), cmp.Compare(x.By, y.By))
	})
	return list[:min(maxReportsPerMessage, len(list))]
}
