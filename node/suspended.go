package node

import (
	"math"
	"time"

	"clovertrail.dev/telemetry"
)

// onSuspended handles a suspension of the machine for the duration d, or the error that keeps
// suspensions from being detected.
func (p *loadedProcess) onSuspended(d time.Duration, err error) {
	if err != nil {
		p.common.Log.Error("reading the clocks failed, suspensions of the machine are not detected", "err", err)
		return
	}
	p.common.Metrics.Count(telemetry.Suspensions, "", int(math.Ceil(d.Seconds())))
	p.common.Log.Warn("machine was suspended", "for", d)
	p.onResume()
}

// CatchUpAfterSuspension starts a round of adverts at once, as the box may have missed updates while
// its machine was suspended.
func (e *Entry) CatchUpAfterSuspension() { e.peering.notify() }
