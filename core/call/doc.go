// Package call defines the contents of callers' requests and targets' responses,
// independently of their encoding. An adapter translates them from and to the wire; no other
// package uses the header names of the wire.
//
// # Usage
//
//	req, err := codec.ParseRequest(httpRequest)
//	left := req.Deadline().Sub(now)
package call
