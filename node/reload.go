package node

import (
	"math/rand/v2"

	"clovertrail.dev/membership"
	"clovertrail.dev/node/process"
	"clovertrail.dev/routing"
)

// rosterPolicy returns the policy for the settings. Its spread is drawn again at each start and
// each change of the settings.
func rosterPolicy(s process.EntrySettings) membership.RosterPolicy {
	p := membership.DefaultRosterPolicy(s.Bounds.Drain.Std())
	p.Spread = rand.Float64()
	return p
}

// ApplySettings puts changed settings in force, as far as that is possible without a restart: bounds,
// seeds and overload handling. Addresses, names and the intervals of watches take effect at the next start.
func (e *Entry) ApplySettings(s process.EntrySettings) {
	e.budgets.setBounds(s.Bounds)
	e.fleet.applyOverload(s.Overload)
	e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		r.SetPolicy(rosterPolicy(s))
	})
	e.fleet.waiting.setCapacity(s.Overload.MaxQueued)
}
