// Package process holds what the entry and agent processes of clovertrail-node share: their settings,
// their access to the network, and the start of their servers and the report of failures.
//
// # Usage
//
//	s := process.NewServers(process.MachineNetwork(), failed)
//	err := s.ServeMetrics(common, settings.Metrics)
package process
