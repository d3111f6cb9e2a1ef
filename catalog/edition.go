package catalog

import (
	"cmp"

	"clovertrail.dev/store"
)

// Edition orders documents of the configuration. The operator's version decides, as it never
// goes back: the store may come back from a copy with an older document, whose position is
// later than that of the newest one. The position orders documents of one version.
type Edition struct {
	_       struct{} `cbor:",toarray"`
	Version Version
	At      store.Position
}

// After reports whether the edition is to replace the other one.
func (e Edition) After(other Edition) bool {
	return cmp.Or(cmp.Compare(e.Version, other.Version), e.At.Compare(other.At)) > 0
}
