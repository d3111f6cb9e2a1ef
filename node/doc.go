// Package node puts the parts of clovertrail together into the two processes that
// run on the users' platform: an Entry on each box that takes callers, and an Agent
// beside each model engine.
//
// Neither keeps anything that outlasts it. An Entry learns the configuration and
// the targets from the platform's store, and from other entry boxes while the store
// turns it away.
//
// # Usage
//
//	s, err := settings.Load(os.Getenv("CLOVERTRAIL_BOOT"), &entrySettings)
//	e := node.NewEntry(common, s)
//	err = e.Run(ctx, signals)
package node
