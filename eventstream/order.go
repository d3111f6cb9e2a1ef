package eventstream

import (
	"cmp"
	"strings"
)

// order is the position of a stream.
type order struct {
	last    string // last ID; empty if there was none
	highest string // last ID that is a whole number; empty if there was none
}

// startAfter returns the order of a stream that goes on after the event with the ID.
func startAfter(id string) order {
	o := order{last: id}
	if isNumber(id) {
		o.highest = id
	}
	return o
}

// advance moves to the event with the ID, unless that must not follow.
func (o *order) advance(id string) error {
	switch {
	case id == "":
		return nil
	case id == o.last:
		return &OrderError{id: id, last: o.last}
	case isNumber(id) && o.highest != "" && compareNumbers(id, o.highest) <= 0:
		return &OrderError{id: id, last: o.highest}
	case isNumber(id):
		o.highest = id
	}
	o.last = id
	return nil
}

// isNumber reports whether the ID is a whole number.
func isNumber(id string) bool { return id != "" && strings.Trim(id, "0123456789") == "" }

// compareNumbers compares two whole numbers of any length.
func compareNumbers(a, b string) int {
	a, b = strings.TrimLeft(a, "0"), strings.TrimLeft(b, "0")
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
}
