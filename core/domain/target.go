package domain

import (
	"math"
	"net"
	"strconv"
	"time"
)

// TargetState is the state of a target in the platform's list.
type TargetState int

// The states of a listed target.
const (
	TargetReady TargetState = iota + 1
	TargetLeaving
)

// String returns the name of the state.
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

// Rank describes the rank of a target in an expert-parallel group.
type Rank struct {
	// Group is the name of the group.
	Group GroupName `json:"group"`
	// Epoch counts the formations of the group.
	Epoch uint64 `json:"epoch"`
	// Number is the rank, from 0.
	Number int `json:"number"`
	// Size is the number of ranks in the group.
	Size int `json:"size"`
	// Open reports whether all ranks step together, so that the group accepts requests.
	Open bool `json:"open"`
}

// Limits of what a target states of itself: far above any real target, and low enough for sums and products of them.
const (
	maxSlots = 1 << 20
	maxRanks = 1 << 16
)

// Target is a target as the platform lists it.
type Target struct{ f TargetFields }

// TargetFields are the fields of a Target.
type TargetFields struct {
	ID      InstanceID  `json:"id"`
	Service ServiceName `json:"service"`
	Address string      `json:"address"` // host:port
	Hall    HallName    `json:"hall"`
	State   TargetState `json:"state"`
	Slots   int         `json:"slots"` // maximum number of concurrent requests
	// ColdUntil is until when the target takes fewer requests than usual, by the clock of this process;
	// zero if it is not cold. Messages state the time left instead.
	ColdUntil time.Time `json:"-"`
	// IrregularCold reports that the target stated a time to be cold that is out of range, and that
	// ColdUntil is the nearest possible one.
	IrregularCold bool `json:"-"`
	// Rank is nil for a target that belongs to no group.
	Rank *Rank `json:"rank,omitempty"`
}

// NewTarget validates the fields and returns the target. A target without slots gets one.
func NewTarget(f TargetFields) (Target, error) {
	switch {
	case f.ID == "":
		return Target{}, invalid("id", "missing")
	case f.Service == "":
		return Target{}, invalid("service", "missing")
	case f.Address == "":
		return Target{}, invalid("address", "missing")
	case !isAddress(f.Address):
		return Target{}, invalid("address", "%q is not a host and a port from 1 to %d", f.Address, math.MaxUint16)
	case f.State != TargetReady && f.State != TargetLeaving:
		return Target{}, invalid("state", "%d is not a target state", f.State)
	case f.Slots < 0 || f.Slots > maxSlots:
		return Target{}, invalid("slots", "%d is out of range, want 0 to %d", f.Slots, maxSlots)
	}
	if r := f.Rank; r != nil && (r.Number < 0 || r.Number >= r.Size || r.Size > maxRanks) {
		return Target{}, invalid("rank", "%d of %d ranks is out of range, a group has %d at most", r.Number, r.Size, maxRanks)
	}
	f.Slots = max(f.Slots, 1)
	return Target{f: f}, nil
}

// isAddress reports whether the address has a host and a port to which a connection can be opened.
func isAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	n, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && n > 0
}

// ID returns the instance id of the target.
func (t Target) ID() InstanceID { return t.f.ID }

// Service returns the service that the target belongs to.
func (t Target) Service() ServiceName { return t.f.Service }

// Address returns the address that accepts requests, as host:port.
func (t Target) Address() string { return t.f.Address }

// Hall returns the data hall of the target.
func (t Target) Hall() HallName { return t.f.Hall }

// State returns the state of the target in the platform's list.
func (t Target) State() TargetState { return t.f.State }

// Slots returns the maximum number of requests that the target runs concurrently.
func (t Target) Slots() int { return t.f.Slots }

// ColdUntil returns until when the target takes fewer requests than usual; zero if it is not cold.
func (t Target) ColdUntil() time.Time { return t.f.ColdUntil }

// IrregularCold reports whether the target stated a time to be cold that is out of range.
func (t Target) IrregularCold() bool { return t.f.IrregularCold }

// Rank returns the rank of the target; false if it belongs to no group.
func (t Target) Rank() (Rank, bool) {
	if t.f.Rank == nil {
		return Rank{}, false
	}
	return *t.f.Rank, true
}

// Fields returns the fields of the target, for encoding.
func (t Target) Fields() TargetFields { return t.f }
