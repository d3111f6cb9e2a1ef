// Package fairshare decides which organisations' requests are refused while a share of all requests of a
// class must be refused: weighted max-min fairness on requests. The weight of an organisation is its usual
// number of requests, so that an organisation at its usual rate is refused no more than others are, and a
// burst above it is refused first.
//
// The boxes of a fleet see a few requests a second each, too few to know the rates of organisations. They
// send each other the numbers of requests by organisation; what a box receives from some others, and its
// own requests, are a sample of all. docs/design/fair-shares.md has the alternatives that were considered.
//
// # Usage
//
//	s := fairshare.New()
//	s.Requested(now, service, class, organisation)           // for each new caller of this box
//	p := s.Factor(now, service, class, organisation, refuse) // the request is refused with this probability
//	send(s.Own(now))                                         // once a second, to some other boxes
//	s.Receive(now, from, counts)                             // what another box sent
package fairshare
