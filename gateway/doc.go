// Package gateway carries a request through an entry box: from the caller's HTTP
// request through the choice of a target to the response.
//
// A Gateway validates a request (intake.go), then runs the state machine of package
// retry over the attempts of the request (delivery.go). Each attempt acquires a target
// from the Fleet, sends the request there (attempt.go), and forwards the response,
// whole (plain.go) or event by event (stream.go). Only the HeaderCodec knows the names
// of the headers on the wire. A Listener accepts callers' connections and drains them
// at a planned stop.
//
// When no further attempt of a request is made, the caller is answered at once. A
// response that has begun and cannot be completed is aborted: it never ends as if it
// were complete.
//
// # Usage
//
//	g := gateway.New(gateway.Dependencies{Common: common, Headers: codec, Fleet: fleet, Pool: pool, Budget: budgets})
//	g.Configure(catalog)
//	http.Serve(listener, g)
package gateway
