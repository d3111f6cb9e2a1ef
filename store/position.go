package store

import (
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Position is a point in the history of the store: a revision within an era. The content of
// different responses of the store can be ordered by position only, as revisions of different eras
// are not comparable. The zero Position comes before all others.
type Position struct {
	era      Era
	revision Revision
}

// PositionOf returns the position of the revision in the era.
func PositionOf(e Era, r Revision) Position { return Position{era: e, revision: r} }

// Era returns the era; zero if it is unknown.
func (p Position) Era() Era { return p.era }

// Revision returns the store's own number, for calls to the store within the era.
func (p Position) Revision() Revision { return p.revision }

// IsZero reports whether this is the zero Position, which comes before all others.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns a negative number if the position comes before the other, zero if they are equal,
// and a positive number if it comes after the other.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.revision, other.revision))
}

// After reports whether the position comes after the other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// String returns the era and the revision, separated by a slash.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.revision) }

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}

// Earlier returns the earlier of two positions.
func Earlier(p, q Position) Position {
	if q.After(p) {
		return p
	}
	return q
}

// MarshalCBOR implements cbor.Marshaler.
func (p Position) MarshalCBOR() ([]byte, error) {
	return cbor.Marshal([2]uint64{uint64(p.era), uint64(p.revision)})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (p *Position) UnmarshalCBOR(raw []byte) error {
	var numbers []uint64
	if err := cbor.Unmarshal(raw, &numbers); err != nil {
		return class.Wrap(err)
	}
	if len(numbers) != 2 {
		return class.New("decoding a store position: got %d numbers, want an era and a revision", len(numbers))
	}
	*p = PositionOf(Era(numbers[0]), Revision(numbers[1]))
	return nil
}
