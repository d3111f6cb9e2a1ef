package config

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

func isConflict(err error) bool { return errors.Is(err, store.ErrConflict) }
func isUnknown(err error) bool  { return errors.Is(err, store.ErrUnknownOutcome) }

// Pace holds the times of a Follower.
type Pace struct {
	// WatchFor bounds one watch on the head, so that a watch that has fallen
	// silent is noticed; the head is read after each.
	WatchFor time.Duration
	// PeerSilence is how long the hall's watcher may be silent before another
	// box takes its place.
	PeerSilence time.Duration
	// VerifyEvery is how often a box that does not watch reads the head itself.
	VerifyEvery time.Duration
}

// DefaultPace fits an in-force time of well under 16 s with one fault.
func DefaultPace() Pace {
	return Pace{WatchFor: 4 * time.Second, PeerSilence: 4 * time.Second, VerifyEvery: time.Minute}
}

// Source is where a follower looks for news next. The set is closed:
// WatchPlatform, ReadPlatform, AskPeer and Rest.
type Source interface{ source() }

// WatchPlatform asks to watch the head until the deadline, then read it.
type WatchPlatform struct{ Until time.Time }

// ReadPlatform asks to read the head once.
type ReadPlatform struct{}

// AskPeer asks to fetch the changes since the replica's number from the peer.
type AskPeer struct{ Peer domain.BoxID }

// Rest asks to do nothing until the time or the next word from a peer.
type Rest struct{ Until time.Time }

func (WatchPlatform) source() {}
func (ReadPlatform) source()  {}
func (AskPeer) source()       {}
func (Rest) source()          {}

type peerNews struct {
	hall      domain.HallName
	seq       Seq
	connected bool
	heardAt   time.Time
}

// Follower decides from where an entry box gets the configuration. One box of
// each data hall watches the platform; the others hear from it. Which one is
// worked out by each box from what it hears, so two may watch for a while, which
// costs a call and harms nothing; no lease is needed.
type Follower struct {
	self       domain.BoxID
	hall       domain.HallName
	pace       Pace
	seq        Seq
	peers      map[domain.BoxID]peerNews
	connected  bool // the platform answered last time
	retryAt    time.Time
	failures   int
	verifyAt   time.Time
	askedUntil map[domain.BoxID]time.Time
	confirmed  bool // the platform confirmed the replica's start
	heard      bool // a peer of the hall was heard
}

// NewFollower returns the follower of the box.
func NewFollower(self domain.BoxID, hall domain.HallName, p Pace) *Follower {
	return &Follower{
		self: self, hall: hall, pace: p, connected: true,
		peers: map[domain.BoxID]peerNews{}, askedUntil: map[domain.BoxID]time.Time{},
	}
}

// Connected tells whether the platform answered the last call.
func (f *Follower) Connected() bool { return f.connected }

// Advanced tells the follower how far the replica is.
func (f *Follower) Advanced(seq Seq) { f.seq = max(f.seq, seq) }

// Confirmed tells that the replica holds the latest head there was at some time
// after the start of this box: a conditional write of the head proved it, which
// a read alone, being possibly stale, does not.
func (f *Follower) Confirmed() { f.confirmed = true }

// Unconfirmed tells that the proof of Confirmed is still wanted.
func (f *Follower) Unconfirmed() bool { return !f.confirmed }

// Ready tells whether this box may serve: it has the highest number that it has
// heard of, and has heard from the platform or from a peer of its data hall.
func (f *Follower) Ready() bool {
	if !f.confirmed && !f.heard {
		return false
	}
	for _, p := range f.peers {
		if p.hall == f.hall && p.seq > f.seq && f.seq == 0 {
			return false
		}
	}
	return true
}

// PeerHeard takes a peer's word: how far it is and whether it reaches the
// platform.
func (f *Follower) PeerHeard(now time.Time, peer domain.BoxID, hall domain.HallName, seq Seq, connected bool) {
	f.heard = f.heard || (hall == f.hall && connectedOrAhead(seq, connected))
	f.peers[peer] = peerNews{hall: hall, seq: seq, connected: connected, heardAt: now}
}

// connectedOrAhead tells whether a peer's word can start this box: a peer that
// has neither configuration nor platform knows no more than this box does.
func connectedOrAhead(seq Seq, connected bool) bool { return seq > 0 || connected }

// PeerAsked takes the end of a fetch; after a failed one the peer is left alone
// for a while.
func (f *Follower) PeerAsked(now time.Time, peer domain.BoxID, err error) {
	if err != nil {
		f.askedUntil[peer] = now.Add(f.pace.PeerSilence / 4)
	}
}

const maxBackoffShift = 4

// PlatformAnswered takes the end of a watch or read. After failures the next
// call waits, longer each time and spread by the box's name, so that the return
// of the platform is not met by all boxes at once.
func (f *Follower) PlatformAnswered(now time.Time, err error) {
	f.connected = err == nil
	f.verifyAt = now.Add(f.pace.VerifyEvery + f.spread(f.pace.VerifyEvery/4))
	if err == nil {
		f.failures = 0
		f.retryAt = time.Time{}
		return
	}
	base := f.pace.WatchFor / 16 << min(f.failures, maxBackoffShift)
	f.retryAt = now.Add(base + f.spread(base))
	f.failures++
}

// spread is a share of d that differs from box to box and try to try.
func (f *Follower) spread(d time.Duration) time.Duration {
	const parts = 1 << 16
	h := xxhash.Sum64String(string(f.self)) * uint64(2*f.failures+1)
	return d * time.Duration(h%parts) / parts
}

// Next tells where to look now.
func (f *Follower) Next(now time.Time) Source {
	if peer, ok := f.ahead(now); ok {
		return AskPeer{Peer: peer}
	}
	if now.Before(f.retryAt) {
		return Rest{Until: f.retryAt}
	}
	if f.watcher(now) == f.self {
		return WatchPlatform{Until: now.Add(f.pace.WatchFor)}
	}
	if !now.Before(f.verifyAt) {
		return ReadPlatform{}
	}
	return Rest{Until: f.restUntil(now)}
}

func (f *Follower) restUntil(now time.Time) time.Time {
	t := now.Add(f.pace.PeerSilence / 4)
	if f.verifyAt.Before(t) {
		return f.verifyAt
	}
	return t
}

// ahead returns the peer that is farthest ahead of the replica and may be asked.
func (f *Follower) ahead(now time.Time) (domain.BoxID, bool) {
	var best domain.BoxID
	most := f.seq
	for id, p := range f.peers {
		usable := p.seq > f.seq && !now.Before(f.askedUntil[id]) && now.Sub(p.heardAt) < f.pace.PeerSilence
		if !usable {
			continue
		}
		if p.seq > most || (p.seq == most && best != "" && id < best) {
			best, most = id, p.seq
		}
	}
	return best, best != ""
}

// watcher is the box of the hall that watches the platform, as seen from here:
// the one with the highest hash among those heard lately that reach it.
func (f *Follower) watcher(now time.Time) domain.BoxID {
	best, bestHash := f.self, f.hash(f.self)
	for id, p := range f.peers {
		fresh := now.Sub(p.heardAt) < f.pace.PeerSilence
		if p.hall != f.hall || !fresh || !p.connected {
			continue
		}
		if h := f.hash(id); h > bestHash {
			best, bestHash = id, h
		}
	}
	return best
}

func (f *Follower) hash(id domain.BoxID) uint64 {
	return xxhash.Sum64String(string(f.hall) + "/" + string(id))
}
