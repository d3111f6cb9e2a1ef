package domain

// TargetState is what the platform's list states about a target that stands in it.
type TargetState int

// The states of a listed target.
const (
	TargetReady TargetState = iota + 1
	TargetLeaving
)

// String gives the name of the state.
func (s TargetState) String() string {
	switch s {
	case TargetReady:
		return "ready"
	case TargetLeaving:
		return "leaving"
	default:
		return "unknown"
	}
}

// Rank is a target's place in an expert-parallel group.
type Rank struct {
	// Group is the name of the group.
	Group GroupName `json:"group"`
	// Epoch numbers the formations of the group.
	Epoch uint64 `json:"epoch"`
	// Number is the rank, from 0.
	Number int `json:"number"`
	// Size is how many ranks the group has.
	Size int `json:"size"`
	// Open reports that all ranks step together, so that the group takes requests.
	Open bool `json:"open"`
}

// Target is a target as the platform lists it.
type Target struct{ f TargetFields }

// TargetFields are what a Target is made of.
type TargetFields struct {
	ID      InstanceID  `json:"id"`
	Service ServiceName `json:"service"`
	Address string      `json:"address"` // host:port
	Hall    HallName    `json:"hall"`
	State   TargetState `json:"state"`
	Slots   int         `json:"slots"` // requests that it runs at once
	// Rank is nil for a target that stands alone.
	Rank *Rank `json:"rank,omitempty"`
}

// NewTarget returns a checked target.
func NewTarget(f TargetFields) (Target, error) {
	switch {
	case f.ID == "":
		return Target{}, invalid("id", "missing")
	case f.Service == "":
		return Target{}, invalid("service", "missing")
	case f.Address == "":
		return Target{}, invalid("address", "missing")
	case f.State != TargetReady && f.State != TargetLeaving:
		return Target{}, invalid("state", "%d is not a state of a target", f.State)
	case f.Slots < 0:
		return Target{}, invalid("slots", "%d is negative", f.Slots)
	}
	if r := f.Rank; r != nil && (r.Number < 0 || r.Number >= r.Size) {
		return Target{}, invalid("rank", "%d is not one of %d", r.Number, r.Size)
	}
	f.Slots = max(f.Slots, 1)
	return Target{f: f}, nil
}

// ID is the instance.
func (t Target) ID() InstanceID { return t.f.ID }

// Service is the service that it serves.
func (t Target) Service() ServiceName { return t.f.Service }

// Address is host:port at which it takes requests.
func (t Target) Address() string { return t.f.Address }

// Hall is the data hall in which it stands.
func (t Target) Hall() HallName { return t.f.Hall }

// State is what the list states about it.
func (t Target) State() TargetState { return t.f.State }

// Slots is how many requests it runs at once.
func (t Target) Slots() int { return t.f.Slots }

// Rank is its place in a group; false if it stands alone.
func (t Target) Rank() (Rank, bool) {
	if t.f.Rank == nil {
		return Rank{}, false
	}
	return *t.f.Rank, true
}

// Fields gives what the target is made of, for passing it on.
func (t Target) Fields() TargetFields { return t.f }
