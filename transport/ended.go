package transport

import (
	"context"
	"errors"
	"syscall"
	"time"

	"clovertrail.dev/core/clock"
)

const (
	// lookWithin bounds a look whether a process still listens. On a link that works a
	// connection opens or is refused in some milliseconds; an attempt that is to be made again
	// waits for it.
	lookWithin = 100 * time.Millisecond
	// endedFresh and livesFresh are for how long the outcome of a look stands in for others: as
	// a target ends, or cuts what it had, all of it breaks off at once. One that lives may end
	// right after.
	endedFresh = 250 * time.Millisecond
	livesFresh = 20 * time.Millisecond
)

// look is one look whether a process listens at an address.
type look struct {
	done  chan struct{} // closed once ended is known
	ended bool
	until time.Time // of its use; zero while it is made
}

// ProcessEnded reports whether the process at the address has ended: its box refuses connections. One
// that breaks connections off and still listens has not, and of one whose box reports nothing
// that is not known. A way there that is cut may refuse connections, too; so the witness,
// another process there, must take one. It is empty where there is none, and a refusal is
// believed. A connection that opens is kept for the next request.
func (p *Pool) ProcessEnded(ctx context.Context, address, witness string) bool {
	l, mine := p.look(address)
	if !mine {
		select {
		case <-l.done:
			return l.ended
		case <-ctx.Done():
			return false
		}
	}
	ctx = context.WithoutCancel(ctx)
	ended := p.refuses(ctx, address) && (witness == "" || p.takes(ctx, witness))
	p.looked(l, ended)
	return ended
}

// looked ends a look.
func (p *Pool) looked(l *look, ended bool) {
	fresh := livesFresh
	if ended {
		fresh = endedFresh
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.ended, l.until = ended, clock.Now().Add(fresh)
	close(l.done)
}

// look gives the look that stands for the address now; mine if the caller has to make it.
func (p *Pool) look(address string) (l *look, mine bool) {
	now := clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, old := range p.looks {
		if !old.until.IsZero() && !now.Before(old.until) {
			delete(p.looks, a)
		}
	}
	if l, ok := p.looks[address]; ok {
		return l, false
	}
	l = &look{done: make(chan struct{})}
	p.looks[address] = l
	return l, true
}

// refuses looks twice where the first look stays without an answer: one packet may be lost.
func (p *Pool) refuses(ctx context.Context, address string) bool {
	refused, answered := p.knock(ctx, address)
	if !answered {
		refused, _ = p.knock(ctx, address)
	}
	return refused
}

// takes reports whether the witness takes a connection.
func (p *Pool) takes(ctx context.Context, witness string) bool {
	ctx, cancel := context.WithTimeout(ctx, lookWithin)
	defer cancel()
	c, err := p.connect(ctx, witness)
	if err == nil {
		c.close()
	}
	return err == nil
}

// knock opens a connection.
func (p *Pool) knock(ctx context.Context, address string) (refused, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, lookWithin)
	defer cancel()
	c, err := p.connect(ctx, address)
	if err == nil {
		p.put(c, clock.Now().Add(p.settings.IdleTimeout))
	}
	refused = errors.Is(err, syscall.ECONNREFUSED)
	return refused, refused || err == nil
}
