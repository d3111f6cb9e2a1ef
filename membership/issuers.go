package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"clovertrail.dev/core/domain"
)

// Boxes agree without messages on which of them is the issuer of a service's permits (package
// ratelimit): the one that comes first in an order that is drawn for the service, so that the
// issuers of all services are spread over the boxes (rendezvous hashing). Whom they do not hear
// any more, who leaves, and who has just started and does not know the others yet, is none.

const (
	// aliveFor is how long after the last news of it, from whomever, a box may be an issuer: about
	// as long as others go by their own parts when it has ended.
	aliveFor = 2 * ReachableFor
	// aliveEach is how much longer for each box that is known: each is learned of as much more seldom.
	aliveEach = 50 * time.Millisecond
	// settleFor is how long a box that has started is no issuer: a few rounds of adverts.
	settleFor = 2 * time.Second
)

// ShareReport is what a box reports to others about the limits that all share.
type ShareReport struct {
	// Boxes are how many boxes share them, as it counts them.
	Boxes int
	// UsesFallback reports that it goes by its own part of limits.
	UsesFallback bool
	// Settled reports that it has run long enough to be an issuer.
	Settled bool
}

// ReceiveShareReport takes what the box reports about what all share.
func (b *Boxes) ReceiveShareReport(box domain.BoxID, s ShareReport) {
	if p, ok := b.boxes[box]; ok {
		p.share = s
	}
}

// Issuer is the box that hands out permits for the service: this one, or another with how it is
// reached; without a name if none is known. A box that is leaving is none itself.
func (b *Boxes) Issuer(now time.Time, svc domain.ServiceName, leaving bool) Contact {
	var first Contact
	var best uint64
	consider := func(c Contact) {
		if at := drawn(c.Box, svc); first.Box == "" || at > best {
			first, best = c, at
		}
	}
	if !leaving && b.Settled(now) {
		consider(Contact{Box: b.self})
	}
	for _, p := range b.boxes {
		settled := p.share.Settled || now.Sub(p.newAt) >= settleFor
		if !p.leaving && settled && b.alive(now, p) {
			consider(p.contact)
		}
	}
	return first
}

// alive reports that the box was lately learned of.
func (b *Boxes) alive(now time.Time, p *peer) bool {
	return now.Sub(p.heardAt) < max(aliveFor, time.Duration(len(b.boxes))*aliveEach)
}

// Settled reports whether this box has run long enough to be an issuer.
func (b *Boxes) Settled(now time.Time) bool {
	return !b.since.IsZero() && now.Sub(b.since) >= settleFor
}

// drawn is the place of the box in the order for the service.
func drawn(box domain.BoxID, svc domain.ServiceName) uint64 {
	sum := sha256.Sum256([]byte(string(svc) + "\x00" + string(box)))
	return binary.BigEndian.Uint64(sum[:])
}

// LimitSharers is how many boxes share limits, this one included, as far as it knows. Those that it lost
// count until they are forgotten, unless they reported that they are leaving: they may be cut off, and
// go on.
func (b *Boxes) LimitSharers(now time.Time) int {
	n := 1
	for _, p := range b.boxes {
		if ago := now.Sub(p.heardAt); ago < ForgetBoxAfter && (!p.leaving || ago < ReachableFor) {
			n++
		}
	}
	return n
}

// IssuerShare is how many boxes this one counts as an issuer: itself and those from which it receives reports and that
// do not go by their own parts; and how many share limits. One that has just started takes the word
// of others for that.
func (b *Boxes) IssuerShare(now time.Time) (heard, sharing int) {
	heard, sharing = 1, b.LimitSharers(now)
	for _, p := range b.boxes {
		if !b.alive(now, p) {
			continue
		}
		sharing = max(sharing, p.share.Boxes)
		if !p.share.UsesFallback {
			heard++
		}
	}
	return heard, sharing
}
