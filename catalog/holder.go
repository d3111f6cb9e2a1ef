package catalog

import (
	"bytes"

	"clovertrail.dev/store"
)

// Holder holds the latest edition of the configuration that a box has received, whatever its
// source. It is not safe for concurrent use.
type Holder struct {
	current *Catalog
	edition Edition
	raw     []byte // the document in force as stored
}

// Decode decodes a stored document into a catalog.
type Decode func(raw []byte) (*Catalog, error)

// Offer decodes a document that was read at the position of the store, and reports whether it replaced
// the document in force. A document whose edition is not newer is ignored. If the document is already
// in force, only the position of its edition advances, to the later of the two positions. If the
// document cannot be decoded, Offer returns the error and the document in force remains.
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

// Current returns the catalog in force, or nil if no document was accepted yet.
func (h *Holder) Current() *Catalog { return h.current }

// Edition returns the edition of the document in force, or the zero Edition if no document was accepted
// yet.
func (h *Holder) Edition() Edition { return h.edition }

// Raw returns the document in force as stored, or nil if no document was accepted yet. The caller must
// not modify it.
func (h *Holder) Raw() []byte { return h.raw }
