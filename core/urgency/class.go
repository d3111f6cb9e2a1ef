package urgency

import (
	"cmp"
	"fmt"
	"log/slog"
	"slices"
)

// DefaultPriority is the priority of an organisation or a route that states none, or a negative one. It is
// the middle of the levels that targets know.
const DefaultPriority = 5

// The levels that a target can be asked to run a request at; usualLevel is that of a request without one.
const (
	mostUrgentLevel  = 0
	usualLevel       = 5
	leastUrgentLevel = 9
)

// Priorities are the priorities that the configuration gives a request; 0 is the most urgent.
type Priorities struct {
	Organisation, Route int
}

// Compare orders priorities, the more urgent first.
func (p Priorities) Compare(o Priorities) int {
	return cmp.Or(cmp.Compare(p.Organisation, o.Organisation), cmp.Compare(p.Route, o.Route))
}

// Class is the rank of a request among the classes of its service. The zero Class is that of a service
// with a single class.
type Class struct {
	rank   int
	others int // number of other classes of the service
}

// Rank returns the rank of the class, from 0 for the most urgent one.
func (c Class) Rank() int { return c.rank }

// Count returns the number of classes of the service, at least 1.
func (c Class) Count() int { return c.others + 1 }

// Compare orders classes of one service, the more urgent first.
func (c Class) Compare(o Class) int { return cmp.Compare(c.rank, o.rank) }

// Level returns the level from 0 (most urgent) to 9 at which a target is asked to run a request of the
// class; false if the service has a single class, whose requests are sent without a level. The levels of
// the classes are centred on the one that targets use for requests without any, so that requests of boxes
// that send none are neither first nor last.
func (c Class) Level() (int, bool) {
	if c.others == 0 {
		return 0, false
	}
	return min(max(usualLevel-c.Count()/2+c.rank, mostUrgentLevel), leastUrgentLevel), true
}

// String returns the rank and the number of classes, such as "1/3" for the second of three.
func (c Class) String() string { return fmt.Sprintf("%d/%d", c.rank, c.Count()) }

// LogValue implements slog.LogValuer.
func (c Class) LogValue() slog.Value { return slog.StringValue(c.String()) }

// Classes are the classes of one service. The zero Classes has a single class.
type Classes struct {
	sorted []Priorities // without duplicates
}

// NewClasses returns the classes of a service whose requests may have the given priorities.
func NewClasses(list []Priorities) Classes {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, Priorities.Compare)
	return Classes{sorted: slices.Compact(sorted)}
}

// Of returns the class of a request with the priorities. A request with priorities that are not among the
// service's, as after a change of the configuration, has the class of the next more urgent ones.
func (c Classes) Of(p Priorities) Class {
	if len(c.sorted) == 0 {
		return Class{}
	}
	at, found := slices.BinarySearchFunc(c.sorted, p, Priorities.Compare)
	if !found {
		at = max(at-1, 0)
	}
	return Class{rank: at, others: len(c.sorted) - 1}
}
