package eventstream

// Batch describes the whole events at the beginning of a buffer.
type Batch struct {
	// Length is the number of their bytes.
	Length int
	// Events is their number. Comments and other fields before an empty line that have neither data nor an ID do not count.
	Events int
	// LastID is the ID of the last of them that has one; empty if none has.
	LastID string
	// Unplaced reports that the last of them has no ID, so that no run can continue after it.
	Unplaced bool
}

// add appends an event that ends at the given length.
func (b *Batch) add(e event, length int) {
	b.Length = length
	if e.counts() {
		b.Events++
		b.Unplaced = e.id == ""
	}
	if e.id != "" {
		b.LastID = e.id
	}
}
