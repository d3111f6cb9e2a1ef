package rank

import (
	"context"
	"errors"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/distribution"
	"clovertrail.dev/mesh"
)

// This file contains the reads of a coordinator: one call per rank, or in a large group
// through relays (distribution.Relays).

// relayThreshold is the longest time that direct reads of all ranks may take on linkShare of this
// box's link; relays are used in groups for which they would take longer. It is several times the
// pause between two rounds of reads.
const relayThreshold = 3 * readInterval

// minRelayedCountsInterval is the least time between two requests for expert counts through
// relays: a map change of such a group takes longer, and each response of an engine is large.
const minRelayedCountsInterval = 200 * time.Millisecond

// errNotRelayed is the error of a rank from which its relay received no response.
var errNotRelayed = errors.New("relay received no response from the rank")

// countsDue reports whether the expert counts of all ranks are to be requested now.
func (g *groupCoordinator) countsDue(now time.Time) bool {
	return now.Sub(g.lastCountsRead) >= g.countsInterval() || g.shift.ReadDue(now)
}

// readRanks starts reads of the wanted ranks that have no read in flight. Expert counts may be
// requested of all ranks only, since the counts of some cannot be planned with.
func (g *groupCoordinator) readRanks(ctx context.Context, withCounts bool, wanted func(rank int) bool) {
	_, known := g.coord.Current()
	q := mesh.ReadQuery{From: g.rank, WantExpertCounts: withCounts, WantExperts: !known}
	var viaRelay []int
	sent := false // a read has been started
	for r, m := range g.members {
		if g.countsInFlight[r] || g.readInFlight[r] && !withCounts || !wanted(r) {
			continue
		}
		if withCounts && !sent {
			g.lastCountsRead = clock.Now()
			g.shift.CountsRead(g.lastCountsRead)
		}
		sent = true
		g.setInFlight(r, withCounts, true)
		if g.usesRelay(r) {
			viaRelay = append(viaRelay, r)
			continue
		}
		go g.readRank(ctx, r, m, &q, readDone{rank: r, epoch: g.coord.Epoch(), withCounts: withCounts, before: g.shift.Before(), startedAt: clock.Now()})
	}
	if len(viaRelay) > 0 {
		g.readViaRelays(ctx, viaRelay, q)
	}
}

// setInFlight records whether a read of the rank is in flight. A read with counts is started beside one
// without: the counts of a rank that is left out are missing until the next round.
func (g *groupCoordinator) setInFlight(r int, withCounts, inFlight bool) {
	if withCounts {
		g.countsInFlight[r] = inFlight
	} else {
		g.readInFlight[r] = inFlight
	}
}

// usesRelay reports whether the rank is called through a relay. A rank whose last read failed
// is called directly until a read succeeds, so that it does not delay the response of its relay.
func (g *groupCoordinator) usesRelay(r int) bool {
	return g.relays != nil && r != g.rank && !g.readFailed[r] && !g.unresponsive.contains(r)
}

// readViaRelays starts reads of the ranks through their relays, and direct reads of ranks that
// have no relay.
func (g *groupCoordinator) readViaRelays(ctx context.Context, ranks []int, q mesh.ReadQuery) {
	e := g.coord.Epoch()
	for _, a := range g.relays.Assign(ranks, g.usesRelay) {
		if a.Relay == distribution.NoRelay {
			for _, r := range a.Ranks {
				go g.readRank(ctx, r, g.members[r], &q, readDone{rank: r, epoch: e, withCounts: q.WantExpertCounts, before: g.shift.Before(), startedAt: clock.Now()})
			}
			continue
		}
		done := gatherDone{assignment: a, epoch: e, withCounts: q.WantExpertCounts, before: g.shift.Before(), startedAt: clock.Now()}
		go g.readViaRelay(ctx, g.members[a.Relay], &mesh.GatherQuery{Epoch: e, Ranks: a.Ranks, Read: q}, done)
	}
}

// readViaRelay reads the ranks of one assignment through its relay.
func (g *groupCoordinator) readViaRelay(ctx context.Context, relay mesh.Member, q *mesh.GatherQuery, done gatherDone) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	done.report, done.err = mesh.Call[mesh.GatherQuery, mesh.GatherReply](ctx, g.agent.mesh, relay.Agent, mesh.Gather, q)
	g.unresponsive.recordRead(done.assignment.Relay, done.err)
	g.results <- done
}

// readRank reads one rank: through its agent, or directly from the engine while the agent is
// unresponsive.
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

// handleRead processes the outcome of a read of one rank.
func (g *groupCoordinator) handleRead(now time.Time, e readDone) {
	g.setInFlight(e.rank, e.withCounts, false)
	g.recordReadResult(e.rank, e.err)
	if e.err != nil || g.coord == nil || e.epoch != g.coord.Epoch() {
		return
	}
	g.recordReadTime(now.Sub(e.startedAt))
	if !g.observe(now, e.rank, e.report) {
		return
	}
	if e.withCounts && g.counts.Add(e.rank, e.report.ExpertCounts) {
		g.handleCounts(e.before)
	}
	g.planIfDue(now)
}

// handleGather processes the outcome of a read through a relay. Ranks that are missing from the
// relay's response are read directly next time.
func (g *groupCoordinator) handleGather(now time.Time, e gatherDone) {
	for _, r := range e.assignment.Ranks {
		g.setInFlight(r, e.withCounts, false)
	}
	if e.err != nil {
		g.log("relay did not respond; its ranks are read again", "relay", e.assignment.Relay, "ranks", len(e.assignment.Ranks), "after", now.Sub(e.startedAt), "err", e.err)
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
	if e.withCounts && g.counts.AddSum(ranks, e.report.ExpertCounts) {
		g.handleCounts(e.before)
	}
	g.planIfDue(now)
}

// recordReadResult logs when reads of a rank begin to fail and when they succeed again.
func (g *groupCoordinator) recordReadResult(rank int, err error) {
	if failed := err != nil; failed != g.readFailed[rank] {
		g.readFailed[rank] = failed
		g.log("rank read", "of", rank, "lost", failed, "err", err)
	}
}

// readTimeDecay is the factor by which readTime shrinks with each round of reads.
const readTimeDecay = 0.9

// recordReadTime updates the time of the slowest recent reads.
func (g *groupCoordinator) recordReadTime(took time.Duration) {
	g.readTime = max(g.readTime, took)
	g.coord.SetReadTime(g.readTime)
}

// observe records the report of a rank; false if the report belongs to another epoch.
func (g *groupCoordinator) observe(now time.Time, rank int, r *mesh.RankReport) bool {
	if !g.coord.Observe(now, rank, r.State) {
		return false
	}
	g.recordSlowdown(now, rank, r.Slowdown)
	if r.Experts != nil {
		g.recordExperts(rank, r)
	}
	return true
}

// countsInterval returns the time between two requests for expert counts, such that the
// responses fit into their share of the link.
func (g *groupCoordinator) countsInterval() time.Duration {
	least := readInterval
	if g.relays != nil {
		least = minRelayedCountsInterval
	}
	shortest := max(least, g.transferTime(g.responsesPerRead()*g.countsResponseBytes(), linkShare)-coordinatorTick)
	if g.relays == nil {
		return shortest
	}
	return g.pace.Interval(shortest) // a read of a large group is a response from each of its ranks
}

// responsesPerRead returns the number of responses that one box receives in a read of all ranks:
// with relays, the larger of the numbers for the coordinator and for a relay.
func (g *groupCoordinator) responsesPerRead() int {
	if g.relays != nil {
		return max(g.relays.Partitions(), g.size/max(g.relays.Partitions(), 1))
	}
	return g.size
}

// countsResponseBytes returns the size on the wire of a response with expert counts.
func (g *groupCoordinator) countsResponseBytes() int {
	return g.shape.Layers*g.shape.Experts*bytesPerCount + reportBytes
}

// needsRelays reports whether direct reads of all ranks would take longer than relayThreshold.
func (g *groupCoordinator) needsRelays() bool {
	return g.transferTime(g.size*g.countsResponseBytes(), linkShare) > relayThreshold
}

// transferTime returns the time to transfer the bytes on the given share of this box's link.
func (g *groupCoordinator) transferTime(bytes int, share float64) time.Duration {
	const bitsPerByte, mega = 8, 1e6
	return time.Duration(float64(bytes*bitsPerByte) / (g.agent.settings().LinkMbps * mega * share) * float64(time.Second))
}
