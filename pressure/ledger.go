package pressure

import (
	"slices"
	"time"
)

const (
	// maxWait is how long an exchange waits for room before others are ended for it: within the time in
	// which callers want a response.
	maxWait = 500 * time.Millisecond
	// minStall is how long the peers of an exchange must have made no progress before it may be ended for
	// others: longer than a lost packet delays a sound connection.
	minStall = 2 * time.Second
)

// Ledger decides which exchanges may hold more bytes. It is not safe for concurrent use.
type Ledger struct {
	limit   int64 // bytes that all exchanges together may hold
	held    int64
	holders map[*Holder]struct{}
	waiting []*Holder // in the order in which they began to wait
}

// Holder is one exchange.
type Holder struct {
	bytes      int64
	wanted     int64     // bytes that it waits for; 0 if it does not wait
	waitsSince time.Time // when it began to wait
	transfers  bool      // bytes of it are being read from or written to a peer
	progressAt time.Time // when the transfer began or a peer last took or sent bytes
	ending     bool      // Overdue has returned it
}

// NewLedger returns a ledger that allows limit bytes.
func NewLedger(limit int64) *Ledger {
	return &Ledger{limit: limit, holders: map[*Holder]struct{}{}}
}

// Held returns the number of bytes that all exchanges hold.
func (l *Ledger) Held() int64 { return l.held }

// Open adds an exchange that holds nothing.
func (l *Ledger) Open(now time.Time) *Holder {
	h := &Holder{progressAt: now}
	l.holders[h] = struct{}{}
	return h
}

// Grow asks for room for n more bytes. It returns false if there is none; the exchange then waits until
// it is among the exchanges that Shrink or Close return. An exchange that holds nothing always gets
// room if no other holds anything, even above the limit.
func (l *Ledger) Grow(now time.Time, h *Holder, n int64) bool {
	if len(l.waiting) == 0 && l.fits(n) {
		l.add(h, n)
		return true
	}
	h.wanted, h.waitsSince = n, now
	l.waiting = append(l.waiting, h)
	return false
}

func (l *Ledger) fits(n int64) bool { return l.held == 0 || l.held+n <= l.limit }

func (l *Ledger) add(h *Holder, n int64) {
	h.bytes += n
	l.held += n
}

// TransferBegan records that bytes of the exchange are to be read from or written to a peer. An exchange
// without a transfer, as one that waits for its target to respond, is not ended for others.
func (l *Ledger) TransferBegan(now time.Time, h *Holder) { h.transfers, h.progressAt = true, now }

// TransferEnded records the end of the transfer.
func (l *Ledger) TransferEnded(h *Holder) { h.transfers = false }

// Progressed records that a peer of the exchange took or sent bytes.
func (l *Ledger) Progressed(now time.Time, h *Holder) { h.progressAt = now }

// Shrink records that the exchange holds n bytes less, and returns the exchanges that wait no more.
func (l *Ledger) Shrink(h *Holder, n int64) []*Holder {
	n = min(n, h.bytes)
	l.add(h, -n)
	return l.grant()
}

// Close removes the exchange with all that it holds, and returns the exchanges that wait no more.
func (l *Ledger) Close(h *Holder) []*Holder {
	if _, open := l.holders[h]; !open {
		return nil
	}
	delete(l.holders, h)
	l.stopWaiting(h)
	l.add(h, -h.bytes)
	return l.grant()
}

// GiveUp records that the exchange waits no more, without having got room, and returns the others that
// wait no more.
func (l *Ledger) GiveUp(h *Holder) []*Holder {
	l.stopWaiting(h)
	return l.grant()
}

func (l *Ledger) stopWaiting(h *Holder) {
	h.wanted = 0
	l.waiting = slices.DeleteFunc(l.waiting, func(x *Holder) bool { return x == h })
}

// grant gives room to waiting exchanges, the first one first.
func (l *Ledger) grant() []*Holder {
	var granted []*Holder
	for len(l.waiting) > 0 && l.fits(l.waiting[0].wanted) {
		h := l.waiting[0]
		l.add(h, h.wanted)
		l.stopWaiting(h)
		granted = append(granted, h)
	}
	return granted
}

// Overdue returns the exchanges that are to be ended because another one has waited for room for longer
// than maxWait: those whose transfers have made no progress for the longest time, and for minStall at
// least, as many as make room for the first that waits. Each exchange is returned once.
func (l *Ledger) Overdue(now time.Time) []*Holder {
	if len(l.waiting) == 0 || now.Sub(l.waiting[0].waitsSince) < maxWait {
		return nil
	}
	var stalled []*Holder
	needed := l.held + l.waiting[0].wanted - l.limit
	for h := range l.holders {
		switch {
		case h.ending:
			needed -= h.bytes
		case h != l.waiting[0] && h.bytes > 0 && h.transfers && now.Sub(h.progressAt) >= minStall:
			stalled = append(stalled, h)
		}
	}
	slices.SortFunc(stalled, func(x, y *Holder) int { return x.progressAt.Compare(y.progressAt) })
	var list []*Holder
	for _, h := range stalled {
		if needed <= 0 {
			break
		}
		h.ending = true
		needed -= h.bytes
		list = append(list, h)
	}
	return list
}
