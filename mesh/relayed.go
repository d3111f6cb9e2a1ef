package mesh

import (
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// What a coordinator of a large group hands to a few others, each of which reports for
// some ranks: so neither its link nor its processor has to carry a call for every rank.

// GatherQuery asks an agent to read ranks of its group.
type GatherQuery struct {
	Epoch orders.Epoch `json:"epoch"`
	Ranks []int        `json:"ranks"`
	Read  ReadQuery    `json:"read"`
}

// GatherReply is what the ranks reported that answered.
type GatherReply struct {
	Ranks []RankStatus `json:"ranks"`
	// ExpertCounts is what these ranks chose together since the asker asked last; missing if
	// none could tell.
	ExpertCounts *ExpertCounts `json:"picked,omitempty"`
}

// RankStatus is what a rank reports about itself, without names of fields, since there are
// dozens in a message.
type RankStatus struct {
	_             struct{} `cbor:",toarray"`
	Rank          int
	Open          bool
	Epoch         orders.Epoch
	Step          orders.Step
	Map, Prepared orders.Version
	ArmedVersion  orders.Version // 0 while none is armed
	ArmedStep     orders.Step
	Held          *orders.Step
	Slowdown      float32
	Experts       [][]int // the map in use, by layer; only where it was asked for
}

// NewRankStatus shortens a report for a message that has many.
func NewRankStatus(rank int, r *RankReport) RankStatus {
	s := r.State
	w := RankStatus{
		Rank: rank, Open: s.Open, Epoch: s.Epoch, Step: s.Step, Map: s.Map, Prepared: s.Prepared,
		Held: s.Held, Slowdown: float32(r.Slowdown), Experts: r.Experts,
	}
	if s.Armed != nil {
		w.ArmedVersion, w.ArmedStep = s.Armed.Version, s.Armed.Step
	}
	return w
}

// Report gives back what WordOf took.
func (w RankStatus) Report() *RankReport {
	s := orders.State{Epoch: w.Epoch, Open: w.Open, Step: w.Step, Map: w.Map, Prepared: w.Prepared, Held: w.Held}
	if w.ArmedVersion != 0 {
		s.Armed = &orders.Armed{Version: w.ArmedVersion, Step: w.ArmedStep}
	}
	return &RankReport{Rank: w.Rank, State: s, Slowdown: float64(w.Slowdown), Experts: w.Experts}
}

// FanOutCall is one order for many engines. Either Ranks are named, of the group of the
// agent that is called, or the addresses of their Engines.
type FanOutCall struct {
	Ranks   []int     `json:"ranks,omitempty"`
	Engines []string  `json:"engines,omitempty"`
	Order   OrderCall `json:"order"`
	// Timeout is how long the answer is waited for.
	Timeout time.Duration `json:"left"`
}

// FanOutResult is what became of the order at one engine.
type FanOutResult struct {
	_           struct{} `cbor:",toarray"`
	Result      orders.Result
	UnknownBase bool // the rank's agent does not know the map from which this one was told
}

// FanOutReply is what became of the order, in the order of the call's ranks or engines.
type FanOutReply struct {
	Results []FanOutResult `json:"dealt"`
}
