package orders

import "fmt"

// The numbers of a group.
type (
	// Version numbers the maps of a rank. A rank takes none that is not above all
	// that it had since its group was formed.
	Version uint64
	// Step numbers the steps of a group.
	Step uint64
	// Epoch numbers the formations of a group. All else starts over with it.
	Epoch uint64
	// Fence orders the attempts of coordinators, where engines check it.
	Fence uint64
)

// Placement states which experts each rank holds: by layer, then by rank.
type Placement [][][]int

// Order is what an engine is asked to do. The set is closed: Prepare, Arm, Disarm,
// Hold and Release.
type Order interface{ order() }

// Prepare asks to copy in what the map needs.
type Prepare struct {
	Version Version
	Map     Placement
}

// Arm asks to use the prepared map as the step begins.
type Arm struct {
	Version Version
	Step    Step
}

// Disarm takes an Arm back.
type Disarm struct{ Version Version }

// Hold asks that the group does not begin the step.
type Hold struct{ Step Step }

// Release ends a Hold of the same step.
type Release struct{ Step Step }

func (Prepare) order() {}
func (Arm) order()     {}
func (Disarm) order()  {}
func (Hold) order()    {}
func (Release) order() {}

// Name is the name of an order in logs and counters.
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

// Describe names an order with its numbers: two orders of one description are the same
// order for different ranks, since a version stands for one map.
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

// Result is what became of an order.
type Result int

// The results.
const (
	// Done: it was taken, or already holds.
	Done Result = iota + 1
	// Refused: it does not fit the state of the rank, and was not taken.
	Refused
	// Outranked: a higher fence has been seen; it was not taken.
	Outranked
	// Lost: no answer came; it may be carried out, now or later.
	Lost
)

// String gives the name of the result.
func (r Result) String() string {
	return [...]string{"unknown", "done", "refused", "outranked", "lost"}[r]
}

// Armed is an armed map.
type Armed struct {
	Version Version `json:"version"`
	Step    Step    `json:"step"`
}

// State is what a rank reports about itself. It must have been read from the rank itself
// just now, not from a copy.
type State struct {
	Epoch    Epoch   `json:"epoch"`
	Open     bool    `json:"open"` // the group steps
	Step     Step    `json:"step"` // the last one begun
	Map      Version `json:"map"`
	Prepared Version `json:"prepared"` // 0 while none is ready
	Armed    *Armed  `json:"armed,omitempty"`
	Held     *Step   `json:"held,omitempty"`
}

// Call is an order to one rank.
type Call struct {
	Rank  int
	Epoch Epoch
	Fence Fence
	Order Order
	id    uint64 // of the job that it belongs to
}
