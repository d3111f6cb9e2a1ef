// Package catalog is the configuration in force on a box, indexed for the lookups of requests:
// which route a request takes, which organisation a key belongs to, and the properties of a service.
//
// A Catalog is built as a whole from one document and never changed; a box replaces its catalog by
// a newer one. A Holder decides which of two documents is newer, so that a box never reverts to an
// older configuration, whatever the source of the document.
//
// The package does no I/O and reads no clock.
//
// # Usage
//
//	c, err := catalog.New(document)
//	route, ok := c.Match("lineup.example", "/advice/squad/2f")
//	org, ok := c.Organisation(key)
//	service := route.SelectService(rand.Float64())
package catalog
