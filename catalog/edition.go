package catalog

import (
	"cmp"

	"clovertrail.dev/store"
)

// Edition orders documents of the configuration. The operator's version is compared first, as it
// never decreases: a store that was restored from a backup may hold an older document at a later
// position than that of the newest document. The position orders documents of one version.
type Edition struct {
	_       struct{} `cbor:",toarray"`
	Version Version
	At      store.Position
}

// After reports whether the edition is newer than the other and is to replace it.
func (e Edition) After(other Edition) bool {
	return cmp.Or(cmp.Compare(e.Version, other.Version), e.At.Compare(other.At)) > 0
}
