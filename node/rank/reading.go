package rank

import (
	"context"
	"errors"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/telling"
)

// How a coordinator reads its ranks: each by itself, or in a large group by way of
// relays (telling.Relays).

// relayFrom is how long a reading of all ranks, each by itself, takes this box's share of
// its link for it to use relays: several times the pause between two readings.
const relayFrom = 3 * readEvery

// relayedPicks is the least pause between two questions what was chosen by way of relays: a
// change of such a group takes longer, and each answer of an engine is large.
const relayedPicks = 200 * time.Millisecond

// errNotRelayed reports that a relay received nothing of the rank.
var errNotRelayed = errors.New("its relay did not hear it")

// readRanks reads the ranks that are wanted and not being read already.
func (d *groupDuty) readRanks(ctx context.Context, wanted func(rank int) bool) {
	_, known := d.coord.Current()
	picked := clock.Since(d.pickedAt) >= d.pickPause()
	if picked {
		d.pickedAt = clock.Now()
	}
	q := mesh.ReadQuery{From: d.rank, WantExpertCounts: picked, WantExperts: !known}
	var relayed []int
	for r, m := range d.members {
		if d.reading[r] || !wanted(r) {
			continue
		}
		d.reading[r] = true
		if d.relayed(r) {
			relayed = append(relayed, r)
			continue
		}
		go d.readRank(ctx, r, m, &q, readDone{rank: r, epoch: d.coord.Epoch(), picked: picked, began: clock.Now()})
	}
	if len(relayed) > 0 {
		d.readThrough(ctx, relayed, q)
	}
}

// relayed reports whether the rank is reached by way of a relay. One that has not reported is
// spoken to by itself until it is, so that it does not keep its relay waiting.
func (d *groupDuty) relayed(r int) bool {
	return d.relays != nil && r != d.rank && !d.unread[r] && !d.mute.is(r)
}

// readThrough reads the ranks by way of relays.
func (d *groupDuty) readThrough(ctx context.Context, ranks []int, q mesh.ReadQuery) {
	e := d.coord.Epoch()
	for _, p := range d.relays.Through(ranks, d.relayed) {
		if p.Relay == telling.NoRelay {
			for _, r := range p.Ranks {
				go d.readRank(ctx, r, d.members[r], &q, readDone{rank: r, epoch: e, picked: q.WantExpertCounts, began: clock.Now()})
			}
			continue
		}
		done := gatherDone{part: p, epoch: e, picked: q.WantExpertCounts, began: clock.Now()}
		go d.gather(ctx, d.members[p.Relay], &mesh.GatherQuery{Epoch: e, Ranks: p.Ranks, Read: q}, done)
	}
}

func (d *groupDuty) gather(ctx context.Context, relay mesh.Member, q *mesh.GatherQuery, done gatherDone) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	done.report, done.err = mesh.Call[mesh.GatherQuery, mesh.GatherReply](ctx, d.agent.mesh, relay.Agent, mesh.Gather, q)
	d.mute.note(done.part.Relay, done.err)
	d.results <- done
}

func (d *groupDuty) readRank(ctx context.Context, r int, m mesh.Member, q *mesh.ReadQuery, done readDone) {
	ctx, cancel := context.WithTimeout(ctx, readWithin)
	defer cancel()
	switch {
	case r == q.From:
		done.report, done.err = d.agent.readOwn(ctx, q)
	case d.mute.is(r):
		done.report, done.err = d.agent.readFar(ctx, m)
	default:
		done.report, done.err = mesh.Call[mesh.ReadQuery, mesh.RankReport](ctx, d.agent.mesh, m.Agent, mesh.Read, q)
		d.mute.note(r, done.err)
	}
	d.results <- done
}

// tookRead takes the end of a read of one rank.
func (d *groupDuty) tookRead(now time.Time, e readDone) {
	d.reading[e.rank] = false
	d.noteRead(e.rank, e.err)
	if e.err != nil || d.coord == nil || e.epoch != d.coord.Epoch() {
		return
	}
	d.noteReach(now.Sub(e.began))
	if !d.observe(now, e.rank, e.report) {
		return
	}
	if e.picked && d.counts.Add(e.rank, e.report.ExpertCounts) {
		d.counted()
	}
	d.planIfDue(now)
}

// tookGather takes what a relay brought. Ranks that it did not hear are read by
// themselves next time.
func (d *groupDuty) tookGather(now time.Time, e gatherDone) {
	for _, r := range e.part.Ranks {
		d.reading[r] = false
	}
	if e.err != nil {
		d.log("relay did not answer", "relay", e.part.Relay, "ranks", len(e.part.Ranks), "after", now.Sub(e.began), "err", e.err)
		return
	}
	if d.coord == nil || e.epoch != d.coord.Epoch() {
		return
	}
	d.noteReach(now.Sub(e.began))
	heard := map[int]bool{}
	var ranks []int
	for _, w := range e.report.Ranks {
		heard[w.Rank] = true
		d.noteRead(w.Rank, nil)
		if d.observe(now, w.Rank, w.Report()) {
			ranks = append(ranks, w.Rank)
		}
	}
	for _, r := range e.part.Ranks {
		if !heard[r] {
			d.noteRead(r, errNotRelayed)
		}
	}
	if e.picked && d.counts.AddSum(ranks, e.report.ExpertCounts) {
		d.counted()
	}
	d.planIfDue(now)
}

// noteRead logs when a rank is lost or answers again.
func (d *groupDuty) noteRead(rank int, err error) {
	if failed := err != nil; failed != d.unread[rank] {
		d.unread[rank] = failed
		d.log("rank read", "of", rank, "lost", failed, "err", err)
	}
}

// reachFade is what is left of the longest time of a read after each round of them.
const reachFade = 0.9

// noteReach keeps how long the slowest reads take.
func (d *groupDuty) noteReach(took time.Duration) {
	d.reach = max(d.reach, took)
	d.coord.SetReadTime(d.reach)
}

// observe takes what a rank reports about itself; false if that is of another formation.
func (d *groupDuty) observe(now time.Time, rank int, r *mesh.RankReport) bool {
	if !d.coord.Observe(now, rank, r.State) {
		return false
	}
	d.tookPace(rank, r.Slowdown)
	if r.Experts != nil {
		d.tookHolds(rank, r)
	}
	return true
}

// pickPause is the time between two questions what was chosen, such that the answers
// fit into their share of the link.
func (d *groupDuty) pickPause() time.Duration {
	least := readEvery
	if d.relays != nil {
		least = relayedPicks
	}
	return max(least, d.sending(d.answers()*d.countBytes(), linkShare)-dutyTick)
}

// answers is how many answers a reading of all ranks is, at this box.
func (d *groupDuty) answers() int {
	if d.relays != nil {
		return max(d.relays.Parts(), d.size/max(d.relays.Parts(), 1))
	}
	return d.size
}

// countBytes is what an answer with counts takes on the wire.
func (d *groupDuty) countBytes() int { return d.shape.Layers*d.shape.Experts*pickBytes + reportBytes }

// useRelays reports whether a reading of all ranks, each by itself, would take too long.
func (d *groupDuty) useRelays() bool { return d.sending(d.size*d.countBytes(), linkShare) > relayFrom }

// sending is how long so many bytes take on a share of this box's link.
func (d *groupDuty) sending(bytes int, share float64) time.Duration {
	const bitsPerByte, mega = 8, 1e6
	return time.Duration(float64(bytes*bitsPerByte) / (d.agent.settings().LinkMbps * mega * share) * float64(time.Second))
}
