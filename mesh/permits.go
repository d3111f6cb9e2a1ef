package mesh

import (
	"math"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/ratelimit"
)

// LimitReport is the limit that a target announced. An advert contains up to a few dozen, so it is
// encoded as an array, without names of fields.
type LimitReport struct {
	_      struct{} `cbor:",toarray"`
	Target domain.InstanceID
	// PerSecond is the limit in requests a second; nil if the target announced that it has no limit
	// any more.
	PerSecond *float64
	// Age is the time from the announcement until this message was sent. Ages are sent instead of
	// times because boxes have no common clock.
	Age time.Duration
}

// NewLimitReport encodes a report in a message that is sent at now.
func NewLimitReport(now time.Time, r ratelimit.Report) LimitReport {
	out := LimitReport{Target: r.Target, Age: now.Sub(r.At)}
	if l, limited := r.Limit.(call.Limited); limited {
		out.PerSecond = &l.PerSecond
	}
	return out
}

// Report decodes a report received at now; false if no target can have made it.
func (r LimitReport) Report(now time.Time) (ratelimit.Report, bool) {
	out := ratelimit.Report{Target: r.Target, Limit: call.Unlimited{}, At: now.Add(-r.Age)}
	if r.PerSecond == nil {
		return out, r.Age >= 0
	}
	l, ok := call.NewLimited(*r.PerSecond)
	out.Limit = l
	return out, ok && r.Age >= 0
}

// ShareReport states how a box shares limits with other boxes. Every advert contains one while there
// are limits, so it is encoded as an array, without names of fields.
type ShareReport struct {
	_ struct{} `cbor:",toarray"`
	// Boxes is the number of boxes that share limits, as counted by the reporting box.
	Boxes int
	// UsesFallback reports that the box applies its fallback share of limits, Settled that it has
	// run long enough to be an issuer.
	UsesFallback, Settled bool
}

// PermitQuery requests permits from the issuer of the service, for the first target in Wants for
// which permits are available.
type PermitQuery struct {
	Service domain.ServiceName `json:"service"`
	// Limits are the limits that these targets have named, as the requesting box has received them.
	Limits []LimitReport `json:"wants,omitempty"`
	// Wants are the targets in order of preference. It is empty if the box only probes whether the
	// issuer answers, and from boxes of earlier versions, which want the targets in Limits.
	Wants []PermitWant `json:"targets,omitempty"`
}

// PermitWant is a target that a box wants a permit for.
type PermitWant struct {
	_      struct{} `cbor:",toarray"`
	Target domain.InstanceID
	// PerSecond is the rate at which all boxes together send the target requests, as far as the requesting
	// box has received it; 0 if it is not limited.
	PerSecond float64
}

// NewPermitWants encodes wants.
func NewPermitWants(wants []ratelimit.Want) []PermitWant {
	list := make([]PermitWant, 0, len(wants))
	for _, w := range wants {
		out := PermitWant{Target: w.Target}
		if !math.IsInf(w.Rate, 1) {
			out.PerSecond = w.Rate
		}
		list = append(list, out)
	}
	return list
}

// Targets returns the targets that the box wants permits for: those of Wants, or the given ones, of
// Limits, if it is of an earlier version.
func (q *PermitQuery) Targets(ofLimits []domain.InstanceID) []domain.InstanceID {
	if len(q.Wants) == 0 {
		return ofLimits
	}
	list := make([]domain.InstanceID, 0, len(q.Wants))
	for _, w := range q.Wants {
		list = append(list, w.Target)
	}
	return list
}

// StatedRates returns the rates that the requesting box states, without those that no target can have.
func (q *PermitQuery) StatedRates() map[domain.InstanceID]float64 {
	rates := map[domain.InstanceID]float64{}
	for _, w := range q.Wants {
		if l, ok := call.NewLimited(w.PerSecond); ok && l.PerSecond > 0 {
			rates[w.Target] = l.PerSecond
		}
	}
	return rates
}

// PermitReply is the reply to a PermitQuery.
type PermitReply struct {
	// Issuer reports that the box considers itself the issuer; otherwise it grants no permits.
	Issuer  bool              `json:"issuer"`
	Target  domain.InstanceID `json:"target,omitempty"` // empty if no permit is granted
	Permits int               `json:"permits,omitempty"`
	Turns   []PermitTurn      `json:"turns,omitempty"`
}

// PermitTurn states when the requesting box may next be granted a permit for a target.
type PermitTurn struct {
	_      struct{} `cbor:",toarray"`
	Target domain.InstanceID
	Wait   time.Duration // time from the sending of this message until the turn
}

// NewPermitReply encodes a grant in a message that is sent at now.
func NewPermitReply(now time.Time, g ratelimit.Grant) *PermitReply {
	r := &PermitReply{Issuer: true, Target: g.Target, Permits: g.Permits}
	for _, t := range g.Turns {
		r.Turns = append(r.Turns, PermitTurn{Target: t.Target, Wait: t.At.Sub(now)})
	}
	return r
}

// Grant decodes a grant received at now.
func (r *PermitReply) Grant(now time.Time) ratelimit.Grant {
	g := ratelimit.Grant{Target: r.Target, Permits: r.Permits}
	for _, t := range r.Turns {
		g.Turns = append(g.Turns, ratelimit.Turn{Target: t.Target, At: now.Add(t.Wait)})
	}
	return g
}
