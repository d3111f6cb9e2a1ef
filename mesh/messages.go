package mesh

import (
	"errors"
	"fmt"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

// The calls between processes.
const (
	// ExchangeAdverts sends an Advert from one entry box to another, which replies with its own.
	ExchangeAdverts Method = "/entry/meet"
	// Pull requests from an entry box the configuration and the targets that the requester lacks:
	// PullQuery, PullReply.
	Pull Method = "/entry/pull"
	// QueryHall requests from an entry box the status of the targets of its data hall, or of all
	// targets that it has a status of: HallQuery, HallReport.
	QueryHall Method = "/entry/survey"
	// Permit requests permits from the issuer of a service: PermitQuery, PermitReply.
	Permit Method = "/entry/permit"
	// Watch requests from an agent the status of its engine: WatchQuery, RankReport. Entry boxes
	// call it.
	Watch Method = "/agent/watch"
	// Read requests from an agent the status of its engine: ReadQuery, RankReport. Agents of the
	// same group call it.
	Read Method = "/agent/read"
	// SendOrder sends an order to a rank's agent, or to a forwarder, which sends it on to the
	// named engine: OrderCall, OrderReply.
	SendOrder Method = "/agent/order"
	// Gather has an agent read some ranks of its group for the coordinator: GatherQuery,
	// GatherReply.
	Gather Method = "/agent/gather"
	// FanOut has an agent or a forwarder send one order to many engines: FanOutCall, FanOutReply.
	FanOut Method = "/agent/deal"
)

// Contact is the address of an entry box.
type Contact struct {
	Box     domain.BoxID `json:"box"`
	Address string       `json:"address"`
	// Incarnation numbers the starts of the box's process; the highest one is current.
	Incarnation domain.Incarnation `json:"incarnation"`
	// Age is the time from the last message of the box until this message was sent.
	Age time.Duration `json:"ago"`
	// Hall is the data hall of the box; empty if unknown, and for the sender of an advert, which
	// has it in a field of its own.
	Hall domain.HallName `json:"hall,omitempty"`
}

// Advert is the report of an entry box about itself and others.
type Advert struct {
	Self    Contact         `json:"self"`
	Hall    domain.HallName `json:"hall"`
	Leaving bool            `json:"leaving,omitempty"`
	// Config is the edition of the sender's configuration. Targets is the position of the last
	// change in its list of targets.
	Config  catalog.Edition `json:"config"`
	Targets store.Position  `json:"targets"`
	// Evacuations is the position of the last change of an evacuation; zero if there was none.
	Evacuations store.Position `json:"evacuations,omitzero"`
	// LatestIncarnation is set in replies: the incarnation of the requesting box that the replying
	// box had before the request. A box that restarted chooses a higher one.
	LatestIncarnation domain.Incarnation `json:"remembered,omitempty"`
	// UpdateOnly reports that the advert is sent because of a change. Neither it nor the reply
	// names other boxes.
	UpdateOnly bool `json:"news,omitempty"`
	// Peers are other boxes of which the sender learned lately.
	Peers []Contact `json:"known,omitempty"`
	// FailureReports are the failure reports of all boxes that are in force.
	FailureReports []FailureReport `json:"failures,omitempty"`
	// LeavingTargets are targets that lately announced in a response that they are leaving.
	LeavingTargets []domain.InstanceID `json:"leavers,omitempty"`
	// WorkObservations are observations of work under which targets ended.
	WorkObservations []WorkObservation `json:"works,omitempty"`
	// ClearedEnds are ends of targets that do not count against a work any more. Boxes of earlier versions ignore
	// them, and go by the times at which works were served.
	ClearedEnds []WorkObservation `json:"cleared,omitempty"`
	// Trials are the works in quarantine that a box tries, and Lifts those whose quarantine an operator
	// lifted. Boxes of earlier versions ignore these
	// fields; they could not decode a longer WorkObservation.
	Trials []WorkTrial `json:"trials,omitempty"`
	Lifts  []WorkLift  `json:"lifts,omitempty"`
	// Limits are the limits that targets announced.
	Limits []LimitReport `json:"limits,omitempty"`
	// Share reports how the sender shares limits; nil while it has received no limits.
	Share *ShareReport `json:"share,omitempty"`
	// Organisations are the requests of new callers by organisation. They are set in some of the adverts
	// that a box sends, and not in replies, so that each other box receives a request once at most.
	Organisations []RequestCounts `json:"orgs,omitempty"`
	// NeedsAllLimits reports that the sender has just started and has received no limits yet. The
	// reply then contains all limits and a share.
	NeedsAllLimits bool `json:"blank,omitempty"`
}

// WorkObservation reports that a target ended while it executed a work, or that the work was served.
// An advert contains up to a few dozen, so it is encoded as an array, without names of fields.
type WorkObservation struct {
	_      struct{} `cbor:",toarray"`
	Digest call.Digest
	Target domain.InstanceID // empty if the work was served
	Age    time.Duration     // time from the observation until this message was sent
}

// WorkTrial reports that a box tries a work in quarantine, or did so lately.
type WorkTrial struct {
	_      struct{} `cbor:",toarray"`
	Digest call.Digest
	After  time.Duration // time from the end of the last target that ended under the work until the trial
}

// WorkLift reports that an operator lifted the quarantine of a work.
type WorkLift struct {
	_      struct{} `cbor:",toarray"`
	Digest call.Digest
	Age    time.Duration // time from the lift until this message was sent
}

// FailureReport reports that a target failed a request of a box. An advert contains up to a few
// dozen, so it is encoded as an array, without names of fields.
type FailureReport struct {
	_      struct{} `cbor:",toarray"`
	Target domain.InstanceID
	By     domain.BoxID  // the box whose request failed
	Age    time.Duration // time from the failure until this message was sent
}

// PullQuery states which data the requesting box has.
type PullQuery struct {
	Config      catalog.Edition `json:"config"`
	Targets     store.Position  `json:"targets"`
	Evacuations store.Position  `json:"evacuations,omitzero"`
	// AcceptsChanges reports that the reply may contain only the changes of the list of targets after
	// Targets. Boxes of earlier versions take each reply for the complete list.
	AcceptsChanges bool `json:"changes,omitempty"`
}

// Document is the configuration as stored by the platform.
type Document struct {
	At  store.Position `json:"at"`
	Raw []byte         `json:"raw"`
}

// TargetUpdate is an entry of a list of targets.
type TargetUpdate struct {
	ID     domain.InstanceID    `json:"id"`
	At     store.Position       `json:"at"`
	Target *domain.TargetFields `json:"target,omitempty"` // nil if the target was removed
	// Unusable reports that the entry exists but names no target.
	Unusable bool `json:"unusable,omitempty"`
	// ColdFor is for how long the target is still cold; 0 if it is not.
	ColdFor time.Duration `json:"cold,omitempty"`
}

// PullReply contains what is newer than the requesting box's data.
type PullReply struct {
	Config  *Document      `json:"config,omitempty"`
	At      store.Position `json:"at"` // of the list of targets; zero if the requesting box is up to date
	Targets []TargetUpdate `json:"targets,omitempty"`
	// ChangesOnly reports that Targets are the changes after the position of the query, and not the
	// complete list.
	ChangesOnly bool `json:"changes,omitempty"`
	// Evacuations is nil if the requesting box is up to date.
	Evacuations *EvacuationList `json:"evacuations,omitempty"`
}

// EvacuationList holds the evacuations in force at a position.
type EvacuationList struct {
	At    store.Position `json:"at"`
	Halls []Evacuation   `json:"halls,omitempty"`
}

// Evacuation is the evacuation of a data hall.
type Evacuation struct {
	Hall domain.HallName `json:"hall"`
	At   store.Position  `json:"at"` // position of the operator's request
}

// NewEvacuationList encodes the evacuations in force at a position.
func NewEvacuationList(at store.Position, active []membership.EvacuationUpdate) *EvacuationList {
	l := &EvacuationList{At: at}
	for _, u := range active {
		l.Halls = append(l.Halls, Evacuation{Hall: u.Hall, At: u.At})
	}
	return l
}

// Updates decodes the evacuations. It leaves out those without a hall.
func (l *EvacuationList) Updates() []membership.EvacuationUpdate {
	var list []membership.EvacuationUpdate
	for _, e := range l.Halls {
		if e.Hall != "" {
			list = append(list, membership.EvacuationUpdate{Hall: e.Hall, At: e.At, Active: true})
		}
	}
	return list
}

// NewTargetUpdates encodes updates of targets in a message that is sent at now.
func NewTargetUpdates(now time.Time, updates []membership.TargetUpdate) []TargetUpdate {
	list := make([]TargetUpdate, 0, len(updates))
	for _, u := range updates {
		t := TargetUpdate{ID: u.ID, At: u.At, Unusable: u.Unusable}
		if u.Target != nil {
			f := u.Target.Fields()
			t.Target = &f
			if f.ColdUntil.After(now) {
				t.ColdFor = f.ColdUntil.Sub(now)
			}
		}
		list = append(list, t)
	}
	return list
}

// TargetUpdates decodes and validates the updates of targets that were received at now. Targets that are invalid are unusable, and the
// errors state why.
func (p *PullReply) TargetUpdates(now time.Time) ([]membership.TargetUpdate, error) {
	var invalid []error
	list := make([]membership.TargetUpdate, 0, len(p.Targets))
	for _, t := range p.Targets {
		u := membership.TargetUpdate{ID: t.ID, At: t.At, Unusable: t.Unusable}
		if t.Target != nil {
			f := *t.Target
			if t.ColdFor > 0 {
				f.ColdUntil = now.Add(t.ColdFor)
			}
			target, err := domain.NewTarget(f)
			if err == nil {
				u.Target = &target
			} else {
				u.Unusable = true
				invalid = append(invalid, fmt.Errorf("target %s: %w", t.ID, err))
			}
		}
		list = append(list, u)
	}
	return list, errors.Join(invalid...)
}

// HallQuery requests the status of the targets of an entry box's data hall.
type HallQuery struct {
	// All also requests the status of targets that the box received from other boxes, including
	// targets of other data halls.
	All bool `json:"all,omitempty"`
	// Own requests only the status of targets that the box queries itself. Hubs of one hall set it, which
	// share the targets of the hall.
	Own bool `json:"own,omitempty"`
	// Box and RankShare request only the targets in the subset of the requesting box; RankShare is 0 for
	// all. Boxes of earlier versions, which chose subsets by target, report on all targets.
	Box       domain.BoxID `json:"box,omitempty"`
	RankShare float64      `json:"ranks,omitempty"`
}

// Subset returns the targets that the query is about.
func (q *HallQuery) Subset() membership.Subset {
	if q.RankShare <= 0 || q.RankShare > 1 {
		return membership.Subset{Box: q.Box, Share: 1}
	}
	return membership.Subset{Box: q.Box, Share: q.RankShare}
}

// HallReport contains the status of targets as received by an entry box.
type HallReport struct {
	// FollowsStore reports that the box follows the store, that the store is available, and that
	// the box will report its changes.
	FollowsStore bool           `json:"follows,omitempty"`
	Targets      []TargetStatus `json:"targets"`
}

// TargetStatus is the last status received of a target. One is sent between data halls for each
// target several times a second, so it is encoded as an array, without names of fields.
type TargetStatus struct {
	_  struct{} `cbor:",toarray"`
	ID domain.InstanceID
	// Age is the time from the receipt of the status until this message was sent.
	Age              time.Duration
	Epoch            orders.Epoch
	Open             bool
	Step             orders.Step
	Running, Waiting int
	Slowdown         float32
	// BoxUnresponsive reports that the target's box has not responded since the receipt of the
	// status.
	BoxUnresponsive bool
}

// Member is a rank of a group in the list of an entry box. A message contains up to a hundred, so it
// is encoded as an array, without names of fields.
type Member struct {
	_        struct{}          `cbor:",toarray"`
	Rank     int               `json:"rank"`
	Instance domain.InstanceID `json:"instance"`
	Target   string            `json:"target"` // address of the engine
	Agent    string            `json:"agent"`  // address of the agent on the engine's box
	Hall     domain.HallName   `json:"hall,omitempty"`
}

// WatchQuery requests the status of an agent's engine. From time to time it also contains data that an
// agent has no other source for.
type WatchQuery struct {
	Epoch   orders.Epoch     `json:"epoch"`
	Members []Member         `json:"members,omitempty"` // of the engine's group in the epoch
	Shape   *rebalance.Shape `json:"shape,omitempty"`   // of the group's maps
	// Forwarders are the addresses of the requesting box and of some agents of other groups:
	// processes on boxes without a rank of this group, which forward orders for it.
	Forwarders []string `json:"helpers,omitempty"`
}

// RankReport is the status of a rank.
type RankReport struct {
	// Born is the start time of the engine's process; 0 if the engine does not report it.
	Born     domain.StartTime `json:"born,omitempty"`
	Group    domain.GroupName `json:"group"`
	Rank     int              `json:"rank"`
	Size     int              `json:"size"`
	State    orders.State     `json:"state"`
	Running  int              `json:"running"`
	Waiting  int              `json:"waiting"`
	Slowdown float64          `json:"pace"`
	// Leaving reports whether the engine announces that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// ExpertCounts states how often the requests of this rank selected each expert since the
	// previous request of the same reader; only in replies to Read, and nil if unknown.
	ExpertCounts *ExpertCounts `json:"picked,omitempty"`
	// MembersEpoch is the epoch of the group's members that the agent has; only in replies to
	// Watch.
	MembersEpoch orders.Epoch `json:"knows,omitempty"`
	// Experts are the rank's experts in the map in use, by layer; only in replies to Read.
	Experts [][]int `json:"holds,omitempty"`
}

// ReadQuery requests the status of a rank.
type ReadQuery struct {
	// From is the requesting rank.
	From int `json:"from"`
	// WantExpertCounts requests the counts of selected experts, WantExperts the rank's experts in
	// the map in use.
	WantExpertCounts bool `json:"picked,omitempty"`
	WantExperts      bool `json:"holds,omitempty"`
}

// OrderCall sends an order to an engine. Exactly one of the orders is set.
type OrderCall struct {
	// Engine is the address of the engine to forward the order to; empty for the receiving agent's
	// own engine.
	Engine  string          `json:"engine,omitempty"`
	Epoch   orders.Epoch    `json:"epoch"`
	Fence   orders.Fence    `json:"fence"`
	Prepare *orders.Prepare `json:"prepare,omitempty"`
	// Base is the version of a map that the agent received before; 0 if the order contains the
	// whole map. Otherwise Prepare is sent without its map, and Rows are the rows that differ from
	// the base.
	Base    orders.Version  `json:"base,omitempty"`
	Rows    []orders.Row    `json:"rows,omitempty"`
	Arm     *orders.Arm     `json:"arm,omitempty"`
	Disarm  *orders.Disarm  `json:"disarm,omitempty"`
	Hold    *orders.Hold    `json:"hold,omitempty"`
	Release *orders.Release `json:"release,omitempty"`
}

// NewOrderCall encodes an order.
func NewOrderCall(c orders.Call) *OrderCall {
	out := &OrderCall{Epoch: c.Epoch, Fence: c.Fence}
	switch o := c.Order.(type) {
	case orders.Prepare:
		out.Prepare = &o
	case orders.Arm:
		out.Arm = &o
	case orders.Disarm:
		out.Disarm = &o
	case orders.Hold:
		out.Hold = &o
	case orders.Release:
		out.Release = &o
	}
	return out
}

// Order returns the order of the call; nil if the call contains none.
func (c *OrderCall) Order() orders.Order {
	switch {
	case c.Prepare != nil:
		return *c.Prepare
	case c.Arm != nil:
		return *c.Arm
	case c.Disarm != nil:
		return *c.Disarm
	case c.Hold != nil:
		return *c.Hold
	case c.Release != nil:
		return *c.Release
	default:
		return nil
	}
}

// OrderReply is the result of an order.
type OrderReply struct {
	Result orders.Result `json:"result"`
}
