// Package call holds what a caller's request and a target's answer state, in the
// words of clovertrail. An adapter reads them from the wire and writes them to it;
// the rest of the system never sees the wire's names.
//
// # Usage
//
//	req, err := speech.ParseRequest(httpRequest)
//	left := req.Deadline().Sub(now)
package call
