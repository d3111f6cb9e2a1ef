package node

import (
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/process"
	"clovertrail.dev/telemetry"
)

// This file has the exchange of the numbers of requests by organisation. Both sides are in adverts, and
// the decisions in package fairshare.

// applyOverload enables and disables the mechanisms for overload.
func (f *fleet) applyOverload(o process.Overload) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancer.SetInterpretReports(o.InterpretReports)
	f.shares.SetEnabled(o.FairShares)
}

// ownRequestCounts returns the requests of this box since the last call that returned any, to be sent to
// some other boxes once.
func (f *fleet) ownRequestCounts(now time.Time) []mesh.RequestCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return mesh.NewRequestCounts(f.shares.Own(now))
}

// receiveRequestCounts records the requests of another box. Counts that no box can have are dropped.
func (p *peering) receiveRequestCounts(now time.Time, from domain.BoxID, list []mesh.RequestCounts) {
	if len(list) == 0 {
		return
	}
	counts, invalid := mesh.Counts(list)
	if invalid > 0 {
		p.entry.common.Metrics.Count(telemetry.InvalidCounts, "", invalid)
	}
	f := p.entry.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shares.Receive(now, from, counts)
}
