package mesh

import (
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
	// Meet is made by entry boxes to each other: Advert for Advert.
	Meet Method = "/entry/meet"
	// Pull asks an entry box for news: PullQuery for Pulled.
	Pull Method = "/entry/pull"
	// Survey asks an entry box of another data hall how the targets there do: HallQuery
	// for HallReport.
	Survey Method = "/entry/survey"
	// Permit asks the issuer of a service for permits: PermitQuery for PermitReply.
	Permit Method = "/entry/permit"
	// Watch is made by entry boxes to agents: WatchQuery for RankReport.
	Watch Method = "/agent/watch"
	// Read is made by agents to each other: ReadQuery for RankReport.
	Read Method = "/agent/read"
	// Command hands an order to a rank's agent, or to another process that gives it to
	// the engine named: OrderCall for OrderReply.
	Command Method = "/agent/order"
	// Gather asks an agent to read some ranks of its group for their coordinator:
	// GatherQuery for Gathered.
	Gather Method = "/agent/gather"
	// Deal hands one order to many: DealCall for DealReply.
	Deal Method = "/agent/deal"
)

// Contact is an entry box that can be reached.
type Contact struct {
	Box     domain.BoxID `json:"box"`
	Address string       `json:"address"`
	// Incarnation numbers the starts of its process; the later one counts.
	Incarnation domain.Incarnation `json:"incarnation"`
	// Ago is how long before the message it was last heard.
	Ago time.Duration `json:"ago"`
	// Hall is where it stands, if that is known; an advert tells its sender's apart.
	Hall domain.HallName `json:"hall,omitempty"`
}

// Advert is what an entry box reports about itself and others.
type Advert struct {
	Self    Contact         `json:"self"`
	Hall    domain.HallName `json:"hall"`
	Leaving bool            `json:"leaving,omitempty"`
	// Config is the edition of its configuration; Targets the position of the last change
	// of a target that it knows.
	Config  catalog.Edition `json:"config"`
	Targets store.Position  `json:"targets"`
	// Remembered is the incarnation under which the sender of an answer knew the asker
	// before, so that one that started again can come after it.
	Remembered domain.Incarnation `json:"remembered,omitempty"`
	// News reports that it is sent because something changed, and names no other boxes; nor
	// does its answer.
	News bool `json:"news,omitempty"`
	// Known are other boxes that it has learned of lately.
	Known []Contact `json:"known,omitempty"`
	// FailureReports are those that count, of any box.
	FailureReports []FailureReport `json:"failures,omitempty"`
	// Leavers are targets that lately said, with an answer, that they are leaving.
	Leavers []domain.InstanceID `json:"leavers,omitempty"`
	// Works are what is known of works under which targets ended.
	Works []WorkObservation `json:"works,omitempty"`
	// Limits are what targets said of their limits.
	Limits []LimitReport `json:"limits,omitempty"`
	// Share is how the sender shares limits; missing while it knows none.
	Share *ShareReport `json:"share,omitempty"`
	// Blank reports that the sender has just started and was sent no limits yet, so that the answer
	// is to name all, and has a share.
	Blank bool `json:"blank,omitempty"`
}

// WorkObservation is that a target ended under a work, or that the work was served, so long before
// the message. There may be a few dozen in an advert, so it is written without names of fields.
type WorkObservation struct {
	_      struct{} `cbor:",toarray"`
	Digest call.Digest
	Target domain.InstanceID // empty where the work was served
	Ago    time.Duration
}

// FailureReport is that a target let a box down so long before the message. There may be a
// few dozen in an advert, so it is written without names of fields.
type FailureReport struct {
	_      struct{} `cbor:",toarray"`
	Target domain.InstanceID
	By     domain.BoxID
	Ago    time.Duration
}

// PullQuery reports what the asker has.
type PullQuery struct {
	Config  catalog.Edition `json:"config"`
	Targets store.Position  `json:"targets"`
}

// Document is the configuration as the store keeps it.
type Document struct {
	At  store.Position `json:"at"`
	Raw []byte         `json:"raw"`
}

// TargetNews is a line of a list of targets.
type TargetNews struct {
	ID     domain.InstanceID    `json:"id"`
	At     store.Position       `json:"at"`
	Target *domain.TargetFields `json:"target,omitempty"` // nil if it is gone
}

// Pulled is what is newer than what the asker has.
type Pulled struct {
	Config  *Document      `json:"config,omitempty"`
	At      store.Position `json:"at"` // of the targets; zero if the asker has them all
	Targets []TargetNews   `json:"targets,omitempty"`
}

// ListOf turns news into a message.
func ListOf(news []membership.TargetUpdate) []TargetNews {
	list := make([]TargetNews, 0, len(news))
	for _, n := range news {
		t := TargetNews{ID: n.ID, At: n.At}
		if n.Target != nil {
			f := n.Target.Fields()
			t.Target = &f
		}
		list = append(list, t)
	}
	return list
}

// News checks and gives back what ListOf took.
func (p *Pulled) News() ([]membership.TargetUpdate, error) {
	list := make([]membership.TargetUpdate, 0, len(p.Targets))
	for _, t := range p.Targets {
		n := membership.TargetUpdate{ID: t.ID, At: t.At}
		if t.Target != nil {
			target, err := domain.NewTarget(*t.Target)
			if err != nil {
				return nil, err
			}
			n.Target = &target
		}
		list = append(list, n)
	}
	return list, nil
}

// HallQuery asks an entry box for the reports of the targets that it asks itself.
type HallQuery struct {
	// All asks for what others told it, too: of the targets of other halls.
	All bool `json:"all,omitempty"`
}

// HallReport is what an entry box learned of targets.
type HallReport struct {
	// Follows reports that this box follows the store, which answers it, and will report what
	// changes there.
	Follows bool       `json:"follows,omitempty"`
	Targets []Sighting `json:"targets"`
}

// Sighting is the last report of a target. It goes between data halls for
// each target several times a second, so it is written without names of fields.
type Sighting struct {
	_  struct{} `cbor:",toarray"`
	ID domain.InstanceID
	// Ago is how long before the message the target was heard.
	Ago              time.Duration
	Epoch            orders.Epoch
	Open             bool
	Step             orders.Step
	Running, Waiting int
	Pace             float32
	// Missing reports that nothing came back from its box since.
	Missing bool
}

// Member is a rank of a group, as entry boxes know it. A message has up to a hundred, so
// it is written without names of fields.
type Member struct {
	_        struct{}          `cbor:",toarray"`
	Rank     int               `json:"rank"`
	Instance domain.InstanceID `json:"instance"`
	Target   string            `json:"target"` // address of the engine
	Agent    string            `json:"agent"`  // address of the agent beside it
	Hall     domain.HallName   `json:"hall,omitempty"`
}

// WatchQuery asks an agent how its engine does, and sends it now and then what an
// agent cannot find out by itself.
type WatchQuery struct {
	Epoch   orders.Epoch     `json:"epoch"`
	Members []Member         `json:"members,omitempty"` // of its group in that epoch
	Shape   *rebalance.Shape `json:"shape,omitempty"`   // of the group's maps
	// Helpers are the addresses of the asking box and of some agents of other groups:
	// processes on boxes without a rank of this group, which hand orders on for it.
	Helpers []string `json:"helpers,omitempty"`
}

// RankReport is how a rank does.
type RankReport struct {
	// Born is when the engine's process started; 0 if it does not say.
	Born    domain.StartTime `json:"born,omitempty"`
	Group   domain.GroupName `json:"group"`
	Rank    int              `json:"rank"`
	Size    int              `json:"size"`
	State   orders.State     `json:"state"`
	Running int              `json:"running"`
	Waiting int              `json:"waiting"`
	Pace    float64          `json:"pace"`
	// Leaving reports whether the engine announces that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// Picked is how often each expert was chosen by this rank's requests since the
	// asker asked last; only where Read asks, and missing if that is not known.
	Picked *Picked `json:"picked,omitempty"`
	// Knows is the epoch for which the agent knows who is in its group; only in answers
	// to Watch.
	Knows orders.Epoch `json:"knows,omitempty"`
	// Holds are the experts of the map in use, by layer; only where Read asks.
	Holds [][]int `json:"holds,omitempty"`
}

// ReadQuery asks for the state of a rank.
type ReadQuery struct {
	// From is the rank that asks.
	From int `json:"from"`
	// Picked asks for what was chosen, Holds for the map in use.
	Picked bool `json:"picked,omitempty"`
	Holds  bool `json:"holds,omitempty"`
}

// OrderCall is an order for an engine. Exactly one of the orders is set.
type OrderCall struct {
	// Engine is the address of the engine that is meant; empty for the one beside the
	// agent.
	Engine  string          `json:"engine,omitempty"`
	Epoch   orders.Epoch    `json:"epoch"`
	Fence   orders.Fence    `json:"fence"`
	Prepare *orders.Prepare `json:"prepare,omitempty"`
	// Base is the version of a map that the agent was told before, and Rows what is
	// different in the one to prepare, which then comes without its map; 0 if the map
	// comes whole.
	Base    orders.Version  `json:"base,omitempty"`
	Rows    []orders.Row    `json:"rows,omitempty"`
	Arm     *orders.Arm     `json:"arm,omitempty"`
	Disarm  *orders.Disarm  `json:"disarm,omitempty"`
	Hold    *orders.Hold    `json:"hold,omitempty"`
	Release *orders.Release `json:"release,omitempty"`
}

// CallOf wraps an order for the wire.
func CallOf(c orders.Call) *OrderCall {
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

// Order is the order of the call; nil if it has none.
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

// OrderReply is what became of an order.
type OrderReply struct {
	Result orders.Result `json:"result"`
}
