package orders

import "fmt"

// Numbers in orders and in the states of ranks.
type (
	// Version numbers the maps of a group. A rank accepts a new version only if it is
	// higher than every version that the rank has had since the group was formed.
	Version uint64
	// Step numbers the steps of a group.
	Step uint64
	// Epoch numbers the formations of a group. A new epoch resets all other state.
	Epoch uint64
	// Fence numbers the attempts of coordinators. Engines that check fences accept no
	// order with a fence lower than one received before.
	Fence uint64
)

// Placement states which experts each rank holds: by layer, then by rank.
type Placement [][][]int

// Order is a request to the engine of one rank. The set of types is closed: Prepare,
// Arm, Disarm, Hold and Release.
type Order interface{ order() }

// Prepare requests to copy the experts that the map needs.
type Prepare struct {
	Version Version
	Map     Placement
}

// Arm requests to switch to the prepared map as the step begins.
type Arm struct {
	Version Version
	Step    Step
}

// Disarm cancels an Arm.
type Disarm struct{ Version Version }

// Hold requests that the group does not begin the step.
type Hold struct{ Step Step }

// Release ends a Hold of the same step.
type Release struct{ Step Step }

func (Prepare) order() {}
func (Arm) order()     {}
func (Disarm) order()  {}
func (Hold) order()    {}
func (Release) order() {}

// Name returns the name of the order in logs and metrics.
func Name(o Order) string {
	switch o.(type) {
	case Prepare:
		return "prepare"
	case Arm:
		return "arm"
	case Disarm:
		return "disarm"
	case Hold:
		return "hold"
	case Release:
		return "release"
	default:
		return "unknown"
	}
}

// Describe returns the name of the order with its version and step. Two orders with equal
// descriptions are the same order to different ranks, since a version identifies one map.
func Describe(o Order) string {
	switch o := o.(type) {
	case Prepare:
		return fmt.Sprintf("prepare %d", o.Version)
	case Arm:
		return fmt.Sprintf("arm %d %d", o.Version, o.Step)
	case Disarm:
		return fmt.Sprintf("disarm %d", o.Version)
	case Hold:
		return fmt.Sprintf("hold %d", o.Step)
	case Release:
		return fmt.Sprintf("release %d", o.Step)
	default:
		return Name(o)
	}
}

// Result is the outcome of an order to one rank.
type Result int

// The results.
const (
	// Done: the order was carried out, or the rank was in the requested state already.
	Done Result = iota + 1
	// Refused: the order does not fit the state of the rank and was not carried out.
	Refused
	// Outranked: the rank has received a higher fence and did not carry out the order.
	Outranked
	// Lost: no response arrived; the order may be carried out, now or later.
	Lost
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"unknown", "done", "refused", "outranked", "lost"}[r]
}

// Armed is an armed map and the step from which it applies.
type Armed struct {
	Version Version `json:"version"`
	Step    Step    `json:"step"`
}

// State is the state that a rank reports. It must have been read from the rank itself
// just now, not from a cache.
type State struct {
	Epoch Epoch `json:"epoch"`
	// Open reports whether the group runs steps.
	Open bool `json:"open"`
	// Step is the last step that has begun.
	Step Step `json:"step"`
	// Map is the version of the map in use.
	Map Version `json:"map"`
	// Prepared is the version of the map that is ready to be armed; 0 if none is.
	Prepared Version `json:"prepared"`
	Armed    *Armed  `json:"armed,omitempty"`
	// Held is the step that the rank holds; nil if it holds none.
	Held *Step `json:"held,omitempty"`
}

// Call is an order to one rank.
type Call struct {
	Rank  int
	Epoch Epoch
	Fence Fence
	Order Order
	// deliveryID identifies the delivery that the call belongs to.
	deliveryID uint64
}
