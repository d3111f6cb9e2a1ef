// Package node builds the two processes that run on the users' platform from the other packages
// of clovertrail: an Entry on each box that accepts callers' requests, and an Agent beside each
// model engine.
//
// Neither process keeps state beyond its own lifetime. An Entry receives the configuration and the
// targets from the platform's store, and from other entry boxes while the store rejects its calls.
//
// # Usage
//
//	err := node.Main("entry", os.Getenv(node.SettingsVariable)) // until the platform stops it
//
//	e := node.NewEntry(common, network, func() process.EntrySettings { return s }) // in a test
//	err := e.Run(stop)
package node
