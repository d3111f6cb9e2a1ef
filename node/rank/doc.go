// Package rank implements the agent that runs beside a model engine: it reads the engine,
// sends it orders, and coordinates the group of its rank while no lower rank does. The
// decisions of a coordinator are made in mapswitch/orders and experts/rebalance; this package
// carries out their commands.
//
// Agent serves requests of other processes (agent.go, and relaying.go as a relay between a
// coordinator and other ranks). groupCoordinator is the event loop of a coordinator: it reads
// its ranks (reading.go), plans (planning.go) and sends orders (dispatching.go).
//
// # Usage
//
//	a := rank.NewAgent(common, network, func() process.AgentSettings { return s })
//	err := a.Run(stop) // serves until the stop is requested
package rank
