package catalog

import "clovertrail.dev/store"

// Holder keeps the newest document that a box has met, whoever offered it. It is
// not safe for concurrent use.
type Holder struct {
	current  *Catalog
	revision store.Revision
	raw      []byte
}

// Decode turns a document as the store keeps it into a catalog.
type Decode func(raw []byte) (*Catalog, error)

// Offer takes a document with the revision that the store gave it, and tells
// whether it is now in force. An older one, or the same again, is passed over. One
// that does not decode is an error, and what was in force stays so.
func (h *Holder) Offer(raw []byte, rev store.Revision, decode Decode) (bool, error) {
	if h.current != nil && rev <= h.revision {
		return false, nil
	}
	c, err := decode(raw)
	if err != nil {
		return false, err
	}
	h.current, h.revision, h.raw = c, rev, raw
	return true, nil
}

// Current is the catalog in force, or nil before the first.
func (h *Holder) Current() *Catalog { return h.current }

// Revision is the store's number of the document in force; 0 before the first.
func (h *Holder) Revision() store.Revision { return h.revision }

// Raw is the document in force as the store keeps it; it must not be changed.
func (h *Holder) Raw() []byte { return h.raw }
