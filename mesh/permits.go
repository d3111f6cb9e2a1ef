package mesh

import (
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/ratelimit"
)

// LimitReport is what a target stated about its limit so long before the message. There may be a few
// dozen in an advert, so it is written without names of fields.
type LimitReport struct {
	_      struct{} `cbor:",toarray"`
	Target domain.InstanceID
	// PerSecond is missing where the target reports that it has no limit any more.
	PerSecond *float64
	Age       time.Duration
}

// NewLimitReport turns a report into a message that is sent now.
func NewLimitReport(now time.Time, w ratelimit.Report) LimitReport {
	out := LimitReport{Target: w.Target, Age: now.Sub(w.At)}
	if l, limited := w.Limit.(call.Limited); limited {
		out.PerSecond = &l.PerSecond
	}
	return out
}

// Report is the report in a message that came now; false for one that no target can have made.
func (w LimitReport) Report(now time.Time) (ratelimit.Report, bool) {
	out := ratelimit.Report{Target: w.Target, Limit: call.Unlimited{}, At: now.Add(-w.Age)}
	if w.PerSecond == nil {
		return out, w.Age >= 0
	}
	l, ok := call.NewLimited(*w.PerSecond)
	out.Limit = l
	return out, ok && w.Age >= 0
}

// ShareReport is how a box shares limits with the others. It goes with every advert while there are
// limits, so it is written without names of fields.
type ShareReport struct {
	_ struct{} `cbor:",toarray"`
	// Boxes are how many share them, as it counts.
	Boxes int
	// UsesFallback reports that it goes by its own part, Settled that it has run long enough to be an issuer.
	UsesFallback, Settled bool
}

// PermitQuery asks the issuer of the service for permits for the first target that has any, in the
// order of the wants.
type PermitQuery struct {
	Service domain.ServiceName `json:"service"`
	// Limits are what the asker knows of the targets' limits. There is none where it only finds out
	// whether the issuer answers.
	Limits []LimitReport `json:"wants,omitempty"`
}

// PermitReply is what the asker gets.
type PermitReply struct {
	// Issuer reports that the box is the issuer, as far as it knows; else it hands out nothing.
	Issuer  bool              `json:"issuer"`
	Target  domain.InstanceID `json:"target,omitempty"` // empty if there is no permit
	Permits int               `json:"permits,omitempty"`
	Turns   []PermitTurn      `json:"turns,omitempty"`
}

// PermitTurn is after how long the asker may get a permit for a target.
type PermitTurn struct {
	_      struct{} `cbor:",toarray"`
	Target domain.InstanceID
	Wait   time.Duration
}

// NewPermitReply turns a grant into a message that is sent now.
func NewPermitReply(now time.Time, g ratelimit.Grant) *PermitReply {
	r := &PermitReply{Issuer: true, Target: g.Target, Permits: g.Permits}
	for _, t := range g.Turns {
		r.Turns = append(r.Turns, PermitTurn{Target: t.Target, Wait: t.At.Sub(now)})
	}
	return r
}

// Grant is the grant in a message that came now.
func (r *PermitReply) Grant(now time.Time) ratelimit.Grant {
	g := ratelimit.Grant{Target: r.Target, Permits: r.Permits}
	for _, t := range r.Turns {
		g.Turns = append(g.Turns, ratelimit.Turn{Target: t.Target, At: now.Add(t.Wait)})
	}
	return g
}
