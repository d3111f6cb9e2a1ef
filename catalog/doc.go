// Package catalog is the configuration in force on a box, in the form in which
// requests ask for it: which route a request takes, which organisation a key
// belongs to, what a service is like.
//
// A Catalog is made whole from one document and never changed; a box swaps its
// catalog for a newer one. A Holder decides which of two documents is newer, so
// that a box never goes back, whoever offers it an older one.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	c, err := catalog.New(document)
//	route, ok := c.Match("lineup.example", "/advice/squad/2f")
//	org, ok := c.Organisation(key)
//	service := route.Backend(rand.Float64())
package catalog
