package rank

import (
	"context"
	"errors"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/distribution"
)

// How a coordinator reads its ranks: each by itself, or in a large group by way of
// relays (distribution.Relays).

// relayFrom is how long a reading of all ranks, each by itself, takes this box's share of
// its link for it to use relays: several times the pause between two readings.
const relayThreshold = 3 * readInterval

// relayedPicks is the least pause between two questions what was chosen by way of relays: a
// change of such a group takes longer, and each answer of an engine is large.
const minRelayedCountsInterval = 200 * time.Millisecond

// errNotRelayed reports that a relay received nothing of the rank.
var errNotRelayed = errors.New("its relay did not hear it")

// readRanks reads the ranks that are wanted and not being read already.
func (g *groupCoordinator) readRanks(ctx context.Context, wanted func(rank int) bool) {
	_, known := g.coord.Current()
	withCounts := clock.Since(g.lastCountsRead) >= g.countsInterval()
	if withCounts {
		g.lastCountsRead = clock.Now()
	}
	q := mesh.ReadQuery{From: g.rank, Picked: withCounts, Holds: !known}
	var viaRelay []int
	for r, m := range g.members {
		if g.readInFlight[r] || !wanted(r) {
			continue
		}
		g.readInFlight[r] = true
		if g.usesRelay(r) {
			viaRelay = append(viaRelay, r)
			continue
		}
		go g.readRank(ctx, r, m, &q, readDone{rank: r, epoch: g.coord.Epoch(), withCounts: withCounts, startedAt: clock.Now()})
	}
	if len(viaRelay) > 0 {
		g.readViaRelays(ctx, viaRelay, q)
	}
}

// relayed reports whether the rank is reached by way of a relay. One that has not reported is
// spoken to by itself until it is, so that it does not keep its relay waiting.
func (g *groupCoordinator) usesRelay(r int) bool {
	return g.relays != nil && r != g.rank && !g.readFailed[r] && !g.unresponsive.contains(r)
}

// readThrough reads the ranks by way of relays.
func (g *groupCoordinator) readViaRelays(ctx context.Context, ranks []int, q mesh.ReadQuery) {
	e := g.coord.Epoch()
	for _, p := range g.relays.Assign(ranks, g.usesRelay) {
		if p.Relay == distribution.NoRelay {
			for _, r := range p.Ranks {
				go g.readRank(ctx, r, g.members[r], &q, readDone{rank: r, epoch: e, withCounts: q.Picked, startedAt: clock.Now()})
			}
			continue
		}
		done := gatherDone{assignment: p, epoch: e, withCounts: q.Picked, startedAt: clock.Now()}
		go g.readViaRelay(ctx, g.members[p.Relay], &mesh.GatherQuery{Epoch: e, Ranks: p.Ranks, Read: q}, done)
	}
}

func (g *groupCoordinator) readViaRelay(ctx context.Context, relay mesh.Member, q *mesh.GatherQuery, done gatherDone) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	done.report, done.err = mesh.Call[mesh.GatherQuery, mesh.Gathered](ctx, g.agent.mesh, relay.Agent, mesh.Gather, q)
	g.unresponsive.recordRead(done.assignment.Relay, done.err)
	g.results <- done
}

func (g *groupCoordinator) readRank(ctx context.Context, r int, m mesh.Member, q *mesh.ReadQuery, done readDone) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	switch {
	case r == q.From:
		done.report, done.err = g.agent.readOwn(ctx, q)
	case g.unresponsive.contains(r):
		done.report, done.err = g.agent.readEngine(ctx, m)
	default:
		done.report, done.err = mesh.Call[mesh.ReadQuery, mesh.RankReport](ctx, g.agent.mesh, m.Agent, mesh.Read, q)
		g.unresponsive.recordRead(r, done.err)
	}
	g.results <- done
}

// tookRead takes the end of a read of one rank.
func (g *groupCoordinator) handleRead(now time.Time, e readDone) {
	g.readInFlight[e.rank] = false
	g.recordReadResult(e.rank, e.err)
	if e.err != nil || g.coord == nil || e.epoch != g.coord.Epoch() {
		return
	}
	g.recordReadTime(now.Sub(e.startedAt))
	if !g.observe(now, e.rank, e.report) {
		return
	}
	if e.withCounts && g.counts.Add(e.rank, e.report.Picked) {
		g.handleCounts()
	}
	g.planIfDue(now)
}

// tookGather takes what a relay brought. Ranks that it did not hear are read by
// themselves next time.
func (g *groupCoordinator) handleGather(now time.Time, e gatherDone) {
	for _, r := range e.assignment.Ranks {
		g.readInFlight[r] = false
	}
	if e.err != nil {
		g.log("relay did not answer", "relay", e.assignment.Relay, "ranks", len(e.assignment.Ranks), "after", now.Sub(e.startedAt), "err", e.err)
		return
	}
	if g.coord == nil || e.epoch != g.coord.Epoch() {
		return
	}
	g.recordReadTime(now.Sub(e.startedAt))
	received := map[int]bool{}
	var ranks []int
	for _, w := range e.report.Ranks {
		received[w.Rank] = true
		g.recordReadResult(w.Rank, nil)
		if g.observe(now, w.Rank, w.Report()) {
			ranks = append(ranks, w.Rank)
		}
	}
	for _, r := range e.assignment.Ranks {
		if !received[r] {
			g.recordReadResult(r, errNotRelayed)
		}
	}
	if e.withCounts && g.counts.AddSum(ranks, e.report.Picked) {
		g.handleCounts()
	}
	g.planIfDue(now)
}

// noteRead logs when a rank is lost or answers again.
func (g *groupCoordinator) recordReadResult(rank int, err error) {
	if failed := err != nil; failed != g.readFailed[rank] {
		g.readFailed[rank] = failed
		g.log("rank read", "of", rank, "lost", failed, "err", err)
	}
}

// reachFade is what is left of the longest time of a read after each round of them.
const readTimeDecay = 0.9

// noteReach keeps how long the slowest reads take.
func (g *groupCoordinator) recordReadTime(took time.Duration) {
	g.readTime = max(g.readTime, took)
	g.coord.SetReadTime(g.readTime)
}

// observe takes what a rank reports about itself; false if that is of another formation.
func (g *groupCoordinator) observe(now time.Time, rank int, r *mesh.RankReport) bool {
	if !g.coord.Observe(now, rank, r.State) {
		return false
	}
	g.recordSlowdown(rank, r.Pace)
	if r.Holds != nil {
		g.recordExperts(rank, r)
	}
	return true
}

// pickPause is the time between two questions what was chosen, such that the answers
// fit into their share of the link.
func (g *groupCoordinator) countsInterval() time.Duration {
	least := readInterval
	if g.relays != nil {
		least = minRelayedCountsInterval
	}
	return max(least, g.transferTime(g.responsesPerRead()*g.countsResponseBytes(), linkShare)-coordinatorTick)
}

// answers is how many answers a reading of all ranks is, at this box.
func (g *groupCoordinator) responsesPerRead() int {
	if g.relays != nil {
		return max(g.relays.Partitions(), g.size/max(g.relays.Partitions(), 1))
	}
	return g.size
}

// countBytes is what an answer with counts takes on the wire.
func (g *groupCoordinator) countsResponseBytes() int {
	return g.shape.Layers*g.shape.Experts*bytesPerCount + reportBytes
}

// useRelays reports whether a reading of all ranks, each by itself, would take too long.
func (g *groupCoordinator) needsRelays() bool {
	return g.transferTime(g.size*g.countsResponseBytes(), linkShare) > relayThreshold
}

// sending is how long so many bytes take on a share of this box's link.
func (g *groupCoordinator) transferTime(bytes int, share float64) time.Duration {
	const bitsPerByte, mega = 8, 1e6
	return time.Duration(float64(bytes*bitsPerByte) / (g.agent.settings().Link * mega * share) * float64(time.Second))
}
