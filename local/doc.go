// Package local runs the whole system in one process: entry boxes and agents as
// package node makes them, with stand-ins for the platform's store, targets and a group
// of ranks (platform/standin), joined by a network that can be cut, slowed and silenced.
//
// The network is either loopback TCP, for the demonstration, or memory, so that tests
// run the system in the fake time of testing/synctest. A process that is killed is cut
// from the network for good: nothing of it is received any more, and what it still does reaches
// nobody.
//
// # Usage
//
//	sys, err := local.Start(local.Layout{Halls: halls, Entries: 4, Targets: 4, Memory: true})
//	defer sys.Close()
//	sys.Network.SetLink("hall-1", "hall-2", local.Silent)
//	reply := sys.Ask(ctx, sys.Entries()[0], standin.Request{...})
package local
