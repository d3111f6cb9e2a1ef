// Package admission decides at an entry box whether a request is forwarded or refused immediately, and
// after how long a refused caller should retry.
//
// A Gate refuses callers that would wait too long for a slot of their target. Limiters refuse new callers of a
// group of targets that step together while the group runs nearly as many requests as it can run in time, the
// least urgent first; docs/design/load-shedding.md has the reasons.
//
// # Usage
//
//	g := admission.NewGate()
//	r := admission.Request{Route: "r", Remaining: remaining, LatencyObjective: objective, FirstByte: f, Wait: w}
//	ok, retryAfter := g.Admit(now, r, rnd.Float64())
//
//	l := admission.NewLimiters()
//	l.ObserveGap(now, group, gap, objective)  // on each event of a stream
//	l.ObserveLoad(now, group, epoch, load)    // before each decision
//	c := admission.Caller{Class: class, Remaining: remaining, Returning: g.Returning(now, "r", remaining)}
//	refusal, ok := l.Admit(now, group, c, rnd.Float64())
//	for _, change := range l.Changes(now) { ... } // where shedding began or ended
package admission
