package membership

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"clovertrail.dev/core/domain"
)

// Boxes agree without messages on the issuer of a service's permits (package ratelimit). Each box
// orders the boxes by a hash of the service and the box (rendezvous hashing) and takes the first
// one, which spreads the issuers of all services over the boxes. A box is no candidate while it
// is leaving, once its messages are no longer received, and while it has just started and does
// not have the other boxes in its table yet.

const (
	// issuerTimeout is how long a box may be an issuer after the last message that this or another
	// box received from it. When an issuer ends, the other boxes use their fallback shares for
	// about that long.
	issuerTimeout = 2 * ReachableFor
	// reportPeriodPerBox raises the times for which a message from a box counts, for each box in the table:
	// the more boxes, the more seldom each of them is reported.
	reportPeriodPerBox = 50 * time.Millisecond
	// issuerSettleFor is how long a box that has started is no issuer: a few rounds of adverts.
	issuerSettleFor = 2 * time.Second
)

// ShareReport is a box's report about the limits that all boxes share.
type ShareReport struct {
	// Boxes is the number of boxes that share limits, as counted by the reporting box.
	Boxes int
	// UsesFallback reports that the box applies its fallback share of limits.
	UsesFallback bool
	// Settled reports that the box has run long enough to be an issuer.
	Settled bool
}

// ReceiveShareReport records what the box reports about the limits that all share.
func (b *Boxes) ReceiveShareReport(box domain.BoxID, s ShareReport) {
	if p, ok := b.boxes[box]; ok {
		p.share = s
	}
}

// Issuer returns the box that issues permits for the service: this one, or another with its
// address; an empty contact if there is none. leaving states that this box is leaving, and so is
// no candidate.
func (b *Boxes) Issuer(now time.Time, svc domain.ServiceName, leaving bool) Contact {
	var first Contact
	var best uint64
	consider := func(c Contact) {
		if score := rendezvousScore(c.Box, svc); first.Box == "" || score > best {
			first, best = c, score
		}
	}
	if !leaving && b.Settled(now) {
		consider(Contact{Box: b.self})
	}
	for _, p := range b.boxes {
		settled := p.share.Settled || now.Sub(p.knownSince) >= issuerSettleFor
		if !p.leaving && settled && b.recentlySeen(now, p) {
			consider(p.contact)
		}
	}
	return first
}

// recentlySeen reports whether a message from the peer was received recently enough for it to be
// an issuer.
func (b *Boxes) recentlySeen(now time.Time, p *peer) bool {
	return now.Sub(p.lastSeenAt) < max(issuerTimeout, time.Duration(len(b.boxes))*reportPeriodPerBox)
}

// Settled reports whether this box has run long enough to be an issuer.
func (b *Boxes) Settled(now time.Time) bool {
	return !b.firstRoundAt.IsZero() && now.Sub(b.firstRoundAt) >= issuerSettleFor
}

// rendezvousScore is the weight of the box for the service; the highest wins.
func rendezvousScore(box domain.BoxID, svc domain.ServiceName) uint64 {
	sum := sha256.Sum256([]byte(string(svc) + "\x00" + string(box)))
	return binary.BigEndian.Uint64(sum[:])
}

// LimitSharers returns the number of boxes that share limits, this one included, as far as this
// box can tell. A box whose messages are no longer received counts until it is forgotten, unless
// it reported that it is leaving: it may be isolated and go on sending requests.
func (b *Boxes) LimitSharers(now time.Time) int {
	n := 1
	for _, p := range b.boxes {
		if ago := now.Sub(p.lastSeenAt); ago < ForgetBoxAfter && (!p.leaving || ago < ReachableFor) {
			n++
		}
	}
	return n
}

// IssuerShare returns the number of boxes for which this one issues permits, and the number of
// boxes that share limits. The first are this box and the recently seen boxes that do not use
// their fallback shares. A box that has just started uses the highest number of sharing boxes
// that others report.
func (b *Boxes) IssuerShare(now time.Time) (served, sharing int) {
	served, sharing = 1, b.LimitSharers(now)
	for _, p := range b.boxes {
		if !b.recentlySeen(now, p) {
			continue
		}
		sharing = max(sharing, p.share.Boxes)
		if !p.share.UsesFallback {
			served++
		}
	}
	return served, sharing
}
