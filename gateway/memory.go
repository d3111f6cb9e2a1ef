package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/pressure"
)

const (
	// defaultMaxHeldBytes is the limit of what a gateway holds if Dependencies state none.
	defaultMaxHeldBytes = 64 << 20
	// maxRoomWait is how long a request waits for room before it is refused: other boxes may have room.
	maxRoomWait = time.Second
	// roomCheckInterval is the time between two checks whether other exchanges are to be ended for one
	// that waits.
	roomCheckInterval = 100 * time.Millisecond
	// writeMargin is how long after its deadline the answer to a request may still be written.
	writeMargin = time.Second
)

// errSlowPeer ends an exchange whose caller or target takes or sends its bytes too slowly.
var errSlowPeer = errors.New("a slow peer, and the box needs the memory that the exchange holds")

// memory bounds the bytes that the gateway holds for all exchanges, as a pressure.Ledger decides.
//
// Lock order: mu is the only lock.
type memory struct {
	mu       sync.Mutex
	ledger   *pressure.Ledger
	holdings map[*pressure.Holder]*holding
}

// holding is what one exchange holds.
type holding struct {
	memory  *memory
	holder  *pressure.Holder
	granted chan struct{} // receives a value when the exchange gets the room that it waits for
	end     func()        // ends the exchange; guarded by the memory's mu
}

func newMemory(maxBytes int64) *memory {
	return &memory{ledger: pressure.NewLedger(maxBytes), holdings: map[*pressure.Holder]*holding{}}
}

// open adds an exchange. end is called if it is to be ended; it must not block.
func (m *memory) open(end func()) *holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := &holding{memory: m, holder: m.ledger.Open(clock.Now()), granted: make(chan struct{}, 1), end: end}
	m.holdings[h.holder] = h
	return h
}

// setEnd replaces the function that ends the exchange.
func (h *holding) setEnd(end func()) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.end = end
}

// reserve waits until the exchange may hold n more bytes. It returns an error of package fault if there is
// no room within maxRoomWait or until ctx ends.
func (h *holding) reserve(ctx context.Context, n int64) error {
	m := h.memory
	m.mu.Lock()
	ok := m.ledger.Grow(clock.Now(), h.holder, n)
	m.mu.Unlock()
	if ok {
		return nil
	}
	ctx, cancel := clock.WithDeadline(ctx, clock.Now().Add(maxRoomWait))
	defer cancel()
	ticker := time.NewTicker(roomCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.granted:
			return nil
		case <-ticker.C:
			m.endOverdue()
		case <-ctx.Done():
			return h.giveUp()
		}
	}
}

// tryReserve reports whether the exchange may hold n more bytes now.
func (h *holding) tryReserve(n int64) bool {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ledger.Grow(clock.Now(), h.holder, n) {
		return true
	}
	m.notify(m.ledger.GiveUp(h.holder))
	return false
}

// giveUp ends the wait for room. If the room was granted meanwhile, the exchange has it.
func (h *holding) giveUp() error {
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-h.granted:
		return nil
	default:
	}
	m.notify(m.ledger.GiveUp(h.holder))
	return fault.New(fault.Overloaded, "the box holds %d bytes for slow callers and targets, its limit", m.ledger.Held()).
		RetryAt(clock.Now().Add(OtherBoxRetryDelay))
}

// endOverdue ends the exchanges whose peers are the slowest, if others have waited for long.
func (m *memory) endOverdue() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range m.ledger.Overdue(clock.Now()) {
		m.holdings[h].end()
	}
}

// notify wakes exchanges that wait no more; mu is held.
func (m *memory) notify(granted []*pressure.Holder) {
	for _, h := range granted {
		m.holdings[h].granted <- struct{}{}
	}
}

// shrink records that the exchange holds n bytes less.
func (h *holding) shrink(n int64) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.notify(h.memory.ledger.Shrink(h.holder, n))
}

// transfer records that bytes are read from or written to a peer while run runs.
func (h *holding) transfer(run func()) {
	m := h.memory
	m.mu.Lock()
	m.ledger.TransferBegan(clock.Now(), h.holder)
	m.mu.Unlock()
	run()
	m.mu.Lock()
	m.ledger.TransferEnded(h.holder)
	m.mu.Unlock()
}

// progressed records that the caller or the target took or sent bytes.
func (h *holding) progressed() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.ledger.Progressed(clock.Now(), h.holder)
}

// close removes the exchange.
func (h *holding) close() {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	delete(h.memory.holdings, h.holder)
	h.memory.notify(h.memory.ledger.Close(h.holder))
}

// callerConn sets the deadlines of the connection to a caller, which serves further requests later. Its
// errors are ignored: a connection that is closed shows that on the next read or write, and one that
// has no deadlines, as in tests, has none to set.
type callerConn struct{ controller *http.ResponseController }

// resetDeadlines removes what an earlier request has set.
func (c callerConn) resetDeadlines() { _ = c.controller.SetWriteDeadline(time.Time{}) }

// readUntil lets reads of the request body fail after the time; zero for never.
func (c callerConn) readUntil(at time.Time) { _ = c.controller.SetReadDeadline(machineTime(at)) }

// writeUntil lets writes of the response fail after the time.
func (c callerConn) writeUntil(at time.Time) { _ = c.controller.SetWriteDeadline(machineTime(at)) }

// machineTime converts a time of package clock to one of the machine's clock, which connections use.
func machineTime(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return time.Now().Add(clock.Until(at))
}
