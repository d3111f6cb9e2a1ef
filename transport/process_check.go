package transport

import (
	"context"
	"errors"
	"syscall"
	"time"

	"clovertrail.dev/core/clock"
)

const (
	// processCheckTimeout bounds a process check. On a working link a connection opens or is refused
	// within some milliseconds, and an attempt that may be repeated waits for the result.
	processCheckTimeout = 100 * time.Millisecond
	// endedResultValidFor and aliveResultValidFor are how long a result is shared with further
	// checks. When a target ends or closes all its connections, many requests fail and check it at
	// once. The result of a live target is shared for less time, since the target may end right
	// after the check.
	endedResultValidFor = 250 * time.Millisecond
	aliveResultValidFor = 20 * time.Millisecond
)

// processCheck is one check whether a process listens at an address.
type processCheck struct {
	done       chan struct{} // closed once ended is set
	ended      bool
	validUntil time.Time // zero while the check runs
}

// ProcessEnded reports whether the process at the address has ended: its box then refuses connections.
// A process that closes connections but still listens has not ended, and if the box does
// not respond at all, the result is false. A cut network path may refuse connections too, so the
// witness, the address of another process reached by the same path, must accept a connection. With an
// empty witness, a refusal alone counts. A connection that opens at the address is pooled for the next
// request.
func (p *Pool) ProcessEnded(ctx context.Context, address, witness string) bool {
	check, started := p.joinProcessCheck(address)
	if !started {
		select {
		case <-check.done:
			return check.ended
		case <-ctx.Done():
			return false
		}
	}
	ctx = context.WithoutCancel(ctx)
	ended := p.refusesConnection(ctx, address) && (witness == "" || p.acceptsConnection(ctx, witness))
	p.finishProcessCheck(check, ended)
	return ended
}

// finishProcessCheck records the result and hands it to the waiting calls.
func (p *Pool) finishProcessCheck(check *processCheck, ended bool) {
	validFor := aliveResultValidFor
	if ended {
		validFor = endedResultValidFor
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	check.ended, check.validUntil = ended, clock.Now().Add(validFor)
	close(check.done)
}

// joinProcessCheck returns the current check of the address. If there was none, started is true, and
// the caller must carry out the check.
func (p *Pool) joinProcessCheck(address string) (check *processCheck, started bool) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, old := range p.processChecks {
		if !old.validUntil.IsZero() && !now.Before(old.validUntil) {
			delete(p.processChecks, a)
		}
	}
	if check, ok := p.processChecks[address]; ok {
		return check, false
	}
	check = &processCheck{done: make(chan struct{})}
	p.processChecks[address] = check
	return check, true
}

// refusesConnection reports whether a connection to the address is refused. It tries again if the
// first try gets no response, since one packet may be lost.
func (p *Pool) refusesConnection(ctx context.Context, address string) bool {
	refused, responded := p.tryConnect(ctx, address)
	if !responded {
		refused, _ = p.tryConnect(ctx, address)
	}
	return refused
}

// acceptsConnection reports whether a connection to the witness opens.
func (p *Pool) acceptsConnection(ctx context.Context, witness string) bool {
	ctx, cancel := context.WithTimeout(ctx, processCheckTimeout)
	defer cancel()
	c, err := p.connect(ctx, witness)
	if err == nil {
		c.close()
	}
	return err == nil
}

// tryConnect opens a connection to the address and pools it.
func (p *Pool) tryConnect(ctx context.Context, address string) (refused, responded bool) {
	ctx, cancel := context.WithTimeout(ctx, processCheckTimeout)
	defer cancel()
	c, err := p.connect(ctx, address)
	if err == nil {
		p.put(c, clock.Now().Add(p.settings.IdleTimeout))
	}
	refused = errors.Is(err, syscall.ECONNREFUSED)
	return refused, refused || err == nil
}
