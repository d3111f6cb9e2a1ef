package node

import (
	"math/rand/v2"

	"clovertrail.dev/membership"
	"clovertrail.dev/node/process"
	"clovertrail.dev/routing"
)

// rosterPolicy is drawn anew for each start and change of the settings.
func rosterPolicy(s process.EntrySettings) membership.RosterPolicy {
	p := membership.DefaultRosterPolicy(s.Bounds.Drain.Std())
	p.Spread = rand.Float64()
	return p
}

// ApplySettings puts changed settings in force, as far as that is possible without a
// start: bounds and seeds. Addresses, names and the pace of watches count from the
// next start.
func (e *Entry) ApplySettings(s process.EntrySettings) {
	e.budgets.setBounds(s.Bounds)
	e.fleet.with(func(r *membership.Roster, _ *routing.Balancer) {
		r.SetPolicy(rosterPolicy(s))
	})
}
