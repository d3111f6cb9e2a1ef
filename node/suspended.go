package node

import (
	"math"
	"time"

	"clovertrail.dev/telemetry"
)

// suspended reports that the machine was suspended, or that this cannot be found out.
func (p *loadedProcess) suspended(d time.Duration, err error) {
	if err != nil {
		p.common.Log.Error("clocks not read, suspensions of the machine go unnoticed", "err", err)
		return
	}
	p.common.Metrics.Count(telemetry.Suspensions, "", int(math.Ceil(d.Seconds())))
	p.common.Log.Warn("machine was suspended", "for", d)
	p.onResume()
}

// Woken makes the box look at once for what it missed while its machine was suspended.
func (e *Entry) Woken() { e.peering.notify() }
