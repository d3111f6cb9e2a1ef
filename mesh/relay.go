package mesh

import (
	"time"

	"clovertrail.dev/mapswitch/orders"
)

// The coordinator of a large group reads ranks and sends orders through some relays, each of which
// calls some of the ranks and returns their results. So neither the coordinator's network link nor its
// processor has to handle a call for every rank.

// GatherQuery has an agent read ranks of its group.
type GatherQuery struct {
	Epoch orders.Epoch `json:"epoch"`
	Ranks []int        `json:"ranks"`
	Read  ReadQuery    `json:"read"`
}

// GatherReply contains the status of the ranks that responded.
type GatherReply struct {
	Ranks []RankStatus `json:"ranks"`
	// ExpertCounts are the summed counts of selected experts of these ranks since the requesting
	// rank's previous read; nil if no rank reported any.
	ExpertCounts *ExpertCounts `json:"picked,omitempty"`
}

// RankStatus is the status of a rank. A message contains dozens, so it is encoded as an array, without
// names of fields.
type RankStatus struct {
	_             struct{} `cbor:",toarray"`
	Rank          int
	Open          bool
	Epoch         orders.Epoch
	Step          orders.Step
	Map, Prepared orders.Version
	ArmedVersion  orders.Version // 0 if no map is armed
	ArmedStep     orders.Step
	Held          *orders.Step
	Slowdown      float32
	Experts       [][]int // of the map in use, by layer; only if requested
}

// NewRankStatus converts a report to the compact form that a GatherReply contains.
func NewRankStatus(rank int, r *RankReport) RankStatus {
	s := r.State
	out := RankStatus{
		Rank: rank, Open: s.Open, Epoch: s.Epoch, Step: s.Step, Map: s.Map, Prepared: s.Prepared,
		Held: s.Held, Slowdown: float32(r.Slowdown), Experts: r.Experts,
	}
	if s.Armed != nil {
		out.ArmedVersion, out.ArmedStep = s.Armed.Version, s.Armed.Step
	}
	return out
}

// Report returns the status as a report of a single rank.
func (s RankStatus) Report() *RankReport {
	state := orders.State{Epoch: s.Epoch, Open: s.Open, Step: s.Step, Map: s.Map, Prepared: s.Prepared, Held: s.Held}
	if s.ArmedVersion != 0 {
		state.Armed = &orders.Armed{Version: s.ArmedVersion, Step: s.ArmedStep}
	}
	return &RankReport{Rank: s.Rank, State: state, Slowdown: float64(s.Slowdown), Experts: s.Experts}
}

// FanOutCall sends one order to many engines. Either Ranks is set, for ranks in the group of the
// receiving agent, or Engines, the addresses of engines.
type FanOutCall struct {
	Ranks   []int     `json:"ranks,omitempty"`
	Engines []string  `json:"engines,omitempty"`
	Order   OrderCall `json:"order"`
	// Timeout is how long the coordinator waits for the reply.
	Timeout time.Duration `json:"left"`
}

// FanOutResult is the result of the order at one engine.
type FanOutResult struct {
	_           struct{} `cbor:",toarray"`
	Result      orders.Result
	UnknownBase bool // the rank's agent lacks the base map of the sent changes
}

// FanOutReply contains a result for each rank or engine, in the order of the call.
type FanOutReply struct {
	Results []FanOutResult `json:"dealt"`
}
