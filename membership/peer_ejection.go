package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// Fault is a failure of a target that accepted a request of this box.
type Fault struct {
	Target domain.InstanceID
	// GroupSteps states that the target's group takes steps; it is true for a target without a group.
	GroupSteps bool
}

// ReportFault records the fault, as ReportFailure does, unless the target's whole group stands still, which
// is not the fault of one rank.
func (r *Roster) ReportFault(now time.Time, f Fault) (notify, ejected bool) {
	if !f.GroupSteps {
		return false, false
	}
	return r.ReportFailure(now, f.Target)
}

// ReportFailure records that the target accepted a request of this box and failed it by a fault
// of its own. It returns whether other boxes should be notified at once, and whether the target
// is ejected now.
func (r *Roster) ReportFailure(now time.Time, id domain.InstanceID) (notify, ejected bool) {
	e, ok := r.lookup(id)
	if !ok {
		return false, false
	}
	first := r.failures.AddOwn(now, id)
	ejected = r.ejectIfReported(now, e)
	return first && !r.failuresWidespread(now, e.target.Service()), ejected
}

// ReceiveFailureReport records another box's failure report, and returns whether its target is
// ejected now.
func (r *Roster) ReceiveFailureReport(now time.Time, x FailureReport) bool {
	e, ok := r.lookup(x.Target)
	if !ok {
		return false
	}
	r.failures.Receive(x)
	return r.ejectIfReported(now, e)
}

// FailureReports returns the failure reports to send to other boxes.
func (r *Roster) FailureReports(now time.Time) []FailureReport { return r.failures.Latest(now) }

// ejectIfReported ejects a target of which enough boxes report failures. After an earlier ejection
// for that reason, the first box that uses the target again tests it: a single failure report is
// enough then.
func (r *Roster) ejectIfReported(now time.Time, e *entry) bool {
	enough := reportersNeeded
	if e.health.onProbation(now) {
		enough = 1
	}
	if e.health.ejected(now) || r.failures.CountReporters(now, e.target.ID(), e.health.ejectedUntil) < enough || r.failuresWidespread(now, e.target.Service()) {
		return false
	}
	e.health.ejectReported(now, r.policy)
	return true
}

// failuresWidespread reports whether too many targets of the service are reported, or ejected
// already, for one more to be ejected.
func (r *Roster) failuresWidespread(now time.Time, svc domain.ServiceName) bool {
	reported, ejected, all := 0, 0, 0
	for _, e := range r.entries {
		if e.target.Service() != svc || !e.removedAt.IsZero() {
			continue
		}
		all++
		if r.failures.CountReporters(now, e.target.ID(), time.Time{}) > 0 {
			reported++
		}
		if e.health.ejected(now) {
			ejected++
		}
	}
	return float64(max(reported, ejected)) > maxReportedShare*float64(all)
}
