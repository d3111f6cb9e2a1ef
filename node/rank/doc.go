// Package rank is the process beside a model engine: it reads the engine, hands it orders,
// and coordinates the group of its rank while no lower rank does. What a coordinator
// decides is in mapswitch/orders and experts/rebalance; this package moves their commands.
//
// Agent answers others (agent.go; relaying.go where it stands between a coordinator and other
// ranks). groupDuty is the loop of a coordinator: it reads its ranks (reading.go), plans
// (planning.go) and gives orders (giving.go).
//
// # Usage
//
//	a := rank.NewAgent(common, network, func() process.AgentSettings { return s })
//	err := a.Run(leave) // until leave is closed
package rank
