package store

import (
	"cmp"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Position is a moment in the history of the store: a revision within an era. It is the only
// order of what different answers of the store report: revisions of different eras cannot be
// compared by themselves. The zero Position comes before all others.
type Position struct {
	era      Era
	revision Revision
}

// PositionOf returns the position of the revision in the era.
func PositionOf(e Era, r Revision) Position { return Position{era: e, revision: r} }

// Era is the era of the position; zero if it is not known.
func (p Position) Era() Era { return p.era }

// Revision is the store's own number, for calls to the store within the era.
func (p Position) Revision() Revision { return p.revision }

// IsZero reports whether nothing is known up to this position.
func (p Position) IsZero() bool { return p == Position{} }

// Compare is negative if the position comes before the other, and positive if it comes after it.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.era, other.era), cmp.Compare(p.revision, other.revision))
}

// After reports whether the position comes after the other.
func (p Position) After(other Position) bool { return p.Compare(other) > 0 }

// String writes the era and the revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.revision) }

// Later returns the later of two positions.
func Later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
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
		return class.New("a position has an era and a revision, got %d numbers", len(numbers))
	}
	*p = PositionOf(Era(numbers[0]), Revision(numbers[1]))
	return nil
}
