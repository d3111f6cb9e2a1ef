package membership

import (
	"time"

	"clovertrail.dev/core/domain"
)

// ReportFailure takes that the target had a request of this box and did not answer it as it
// should, in a way that is its own fault. It reports whether other boxes should learn of it
// at once, and whether the target is ejected now.
func (r *Roster) ReportFailure(now time.Time, id domain.InstanceID) (tell, ejected bool) {
	e, ok := r.of(id)
	if !ok {
		return false, false
	}
	first := r.failures.AddOwn(now, id)
	ejected = r.judge(now, e)
	return first && !r.sharedTrouble(now, e.target.Service()), ejected
}

// ReceiveFailureReport takes another box's failure report, and reports whether its target is ejected now.
func (r *Roster) ReceiveFailureReport(now time.Time, c FailureReport) bool {
	e, ok := r.of(c.Target)
	if !ok {
		return false
	}
	r.failures.Receive(c)
	return r.judge(now, e)
}

// FailureReports are those that this box knows of, for others.
func (r *Roster) FailureReports(now time.Time) []FailureReport { return r.failures.Latest(now) }

// judge ejects a target that enough boxes report failures of. One that was ejected for that a
// while ago is tried by the first box that takes it back: one failure report is enough then.
func (r *Roster) judge(now time.Time, e *entry) bool {
	enough := reportersNeeded
	if e.health.onProbation(now) {
		enough = 1
	}
	if e.health.ejected(now) || r.failures.CountReporters(now, e.target.ID(), e.health.ejectedTo) < enough || r.sharedTrouble(now, e.target.Service()) {
		return false
	}
	e.health.ejectReported(now, r.policy)
	return true
}

// sharedTrouble reports that too many targets of the service are reported at once, or
// out of use already, for one more to be ejected.
func (r *Roster) sharedTrouble(now time.Time, svc domain.ServiceName) bool {
	blamed, ejected, all := 0, 0, 0
	for _, e := range r.entries {
		if e.target.Service() != svc || !e.goneAt.IsZero() {
			continue
		}
		all++
		if r.failures.CountReporters(now, e.target.ID(), time.Time{}) > 0 {
			blamed++
		}
		if e.health.ejected(now) {
			ejected++
		}
	}
	return float64(max(blamed, ejected)) > reportedMost*float64(all)
}
