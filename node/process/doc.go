// Package process holds what the entry and agent processes of clovertrail-node share: their settings,
// their access to the network, and the start of their servers and the report of failures.
//
// # Usage
//
//	s := process.NewServers(common, process.MachineNetwork(), stop, failed)
//	err := s.Serve(server, "callers", settings.Callers)
//	err = s.ServeMetrics(settings.Metrics)
package process
