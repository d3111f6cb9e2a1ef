// Package admission decides at an entry box whether a request is forwarded or refused immediately, and
// after how long a refused caller should retry.
//
// # Usage
//
//	g := admission.NewGate()
//	r := admission.Request{Route: "r", Remaining: remaining, LatencyObjective: objective, FirstByte: f, Wait: w}
//	ok, retryAfter := g.Admit(r, rnd.Float64())
package admission
