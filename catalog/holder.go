package catalog

import (
	"bytes"

	"clovertrail.dev/store"
)

// Holder keeps the latest edition of the configuration that a box has received, whoever offered
// it. It is not safe for concurrent use.
type Holder struct {
	current *Catalog
	edition Edition
	raw     []byte
}

// Decode turns a document as the store keeps it into a catalog.
type Decode func(raw []byte) (*Catalog, error)

// Offer takes a document with the position at which the store has it, and reports
// whether it is now in force. An earlier edition, or the same again, is passed over. One
// that does not decode is an error, and what was in force stays so.
func (h *Holder) Offer(raw []byte, at store.Position, decode Decode) (bool, error) {
	if h.current != nil && bytes.Equal(raw, h.raw) {
		h.edition.At = store.Later(h.edition.At, at)
		return false, nil
	}
	c, err := decode(raw)
	if err != nil {
		return false, err
	}
	e := Edition{Version: c.Version(), At: at}
	if h.current != nil && !e.After(h.edition) {
		return false, nil
	}
	h.current, h.edition, h.raw = c, e, raw
	return true, nil
}

// Current is the catalog in force, or nil before the first.
func (h *Holder) Current() *Catalog { return h.current }

// Edition is that of the document in force; zero before the first.
func (h *Holder) Edition() Edition { return h.edition }

// Raw is the document in force as the store keeps it; it must not be changed.
func (h *Holder) Raw() []byte { return h.raw }
