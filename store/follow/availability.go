package follow

import (
	"errors"

	"clovertrail.dev/store"
)

// Availability tracks whether the store answers calls. Its zero value is that of a store that answers.
type Availability struct{ failing bool }

// Record records the result of a call. It returns whether the store answered, and whether that is another state
// than before. A store that lost its history answers.
func (a *Availability) Record(err error) (answered, changed bool) {
	failing := err != nil && !errors.Is(err, store.ErrHistoryLost)
	changed = failing != a.failing
	a.failing = failing
	return !failing, changed
}
