// Package local runs the whole system in one process: the entry boxes and agents of
// package node, and stand-ins for the platform's store, targets and a group of ranks
// (platform/standin). They are connected by a network whose links can refuse connections,
// delay traffic or hold it back.
//
// The network uses either loopback TCP, for the demonstration, or memory, so that tests
// run the system in the fake time of testing/synctest. A process that is killed is cut
// from the network for good: other processes receive nothing from it any more, whatever its
// goroutines still do.
//
// # Usage
//
//	sys, err := local.Start(local.Layout{Halls: halls, Entries: 4, Targets: 4, Memory: true})
//	defer sys.Close()
//	sys.Network.SetLink("hall-1", "hall-2", local.Silent)
//	reply := sys.Ask(ctx, sys.Entries()[0], standin.Request{...})
package local
