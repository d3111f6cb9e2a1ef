package fairshare

import "time"

const (
	// recentTime is the time within which requests show a burst. A box receives a few dozen counts in it,
	// of a burst of several times the usual rate more than chance explains.
	recentTime = 3 * time.Second
	// usualTime is the time before recentTime in which requests are usual. A burst of some seconds hardly
	// changes what is usual; a rate that lasts for a minute is the usual one.
	usualTime = 57 * time.Second
	// maxEntries bounds a history: a thousand entries a second, many times what boxes send each other.
	maxEntries = 1 << 16
)

// The sources of counts.
const (
	ownSource    = iota // the requests of this box
	othersSource        // the counts of other boxes
	sources
)

// entry is a number of requests of a member of the pool at a time.
type entry struct {
	at       time.Time
	tally    *tally
	requests int
}

// history holds the requests of one source within usualTime and recentTime, oldest first.
type history struct {
	source  int
	entries []entry
	middle  int // index of the first entry within recentTime
	windows
}

// windows are the numbers of requests within recentTime, and within usualTime before it.
type windows struct{ recent, usual int }

// add records requests of the member now.
func (h *history) add(now time.Time, t *tally, requests int) {
	if len(h.entries) >= maxEntries {
		h.makeUsual(1)
		h.drop(1)
	}
	h.entries = append(h.entries, entry{now, t, requests})
	h.recent += requests
	t.counts[h.source].recent += requests
}

// advance moves entries that are no longer recent to the usual ones, and drops the oldest.
func (h *history) advance(now time.Time) {
	n := h.middle
	for n < len(h.entries) && now.Sub(h.entries[n].at) > recentTime {
		n++
	}
	h.makeUsual(n)
	n = 0
	for n < h.middle && now.Sub(h.entries[n].at) > recentTime+usualTime {
		n++
	}
	h.drop(n)
}

// makeUsual makes the first n entries usual.
func (h *history) makeUsual(n int) {
	for ; h.middle < n; h.middle++ {
		e := h.entries[h.middle]
		h.recent -= e.requests
		h.usual += e.requests
		c := &e.tally.counts[h.source]
		c.recent -= e.requests
		c.usual += e.requests
	}
}

// drop removes the first n entries, which are usual.
func (h *history) drop(n int) {
	for _, e := range h.entries[:n] {
		h.usual -= e.requests
		e.tally.counts[h.source].usual -= e.requests
	}
	h.entries = h.entries[n:]
	h.middle -= n
}

// comparable reports whether the history shows what is usual: there are recent requests, and it is at
// least twice as long as the recent part.
func (h *history) comparable(now time.Time) bool {
	return h.recent > 0 && h.usual > 0 && now.Sub(h.entries[0].at) >= 2*recentTime
}
