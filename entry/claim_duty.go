package entry

import (
	"context"
	"errors"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/lease"
	"clovertrail.dev/once"
	"clovertrail.dev/store"
)

const (
	claimDutyEvery = time.Second
	peerLiveFor    = 5 * time.Second
)

// keepClaims holds this box's lease and its shards of the keys until ctx ends.
func (e *Entry) keepClaims(ctx context.Context) {
	for ctx.Err() == nil {
		e.renewLease(ctx)
		e.refreshClaims(ctx)
		e.takeOver(ctx)
		e.takeOrphans(ctx)
		e.syncBackups(ctx)
		e.claims.with(func(h *once.Holder) { h.Sweep(time.Now()) })
		sleepUntil(ctx, time.Now().Add(claimDutyEvery), nil)
	}
}

// renewLease does what the lease's machine says and hands its deadline to the
// holder.
func (e *Entry) renewLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t := e.claims
	const steps = 2 // a read and a write at most
	for range steps {
		t.mu.Lock()
		cmd := t.lease.Next(time.Now())
		t.mu.Unlock()
		sentAt := time.Now()
		switch c := cmd.(type) {
		case lease.Read:
			o, err := e.store.Get(ctx, c.Key)
			e.countPlatform("lease_read", err)
			t.mu.Lock()
			t.lease.WasRead(time.Now(), o.Value(), o.Version(), err)
			t.mu.Unlock()
		case lease.Write:
			v, err := e.store.Put(ctx, c.Key, c.Record.Encode(), c.Expect)
			e.countPlatform("lease", err)
			t.mu.Lock()
			t.lease.WasWritten(sentAt, time.Now(), v, err)
			t.holder.Lease(t.lease.Deadline())
			t.mu.Unlock()
		case lease.Rest:
			return
		}
	}
}

// refreshClaims reads the table if there is none yet or a newer one was heard of.
func (e *Entry) refreshClaims(ctx context.Context) {
	t := e.claims
	t.mu.Lock()
	behind := t.holder.Table().Version() < t.newest || t.holder.Table().Version() == 0
	t.mu.Unlock()
	if behind {
		e.readClaimTable(ctx)
	}
}

func (e *Entry) readClaimTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := e.store.Get(ctx, once.TableKey)
	e.countPlatform("claims_read", err)
	if errors.Is(err, store.ErrNotFound) {
		e.createClaimTable(ctx)
		return
	}
	if err != nil {
		return
	}
	table, err := once.DecodeTable(o.Value(), o.Version())
	if err != nil {
		e.common.Log.Error("table of keys", "err", err)
		return
	}
	e.claims.with(func(h *once.Holder) { h.Adopt(table) })
}

// createClaimTable writes the first table ever. That the platform has none yet is
// checked by the write itself.
func (e *Entry) createClaimTable(ctx context.Context) {
	_, live := e.liveMembers()
	e.writeClaimTable(ctx, once.First(live), 0)
}

func (e *Entry) writeClaimTable(ctx context.Context, t once.Table, expect store.Version) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := e.store.Put(ctx, once.TableKey, t.Encode(), expect)
	e.countPlatform("claims", err)
	if err != nil {
		e.claims.heardVersion(expect + 1) // look again: it may have been written
		return
	}
	e.claims.with(func(h *once.Holder) { h.Adopt(t.WithVersion(v)) })
	e.claims.heardVersion(v)
	e.kickExchange()
}

// liveMembers are this box and the entry boxes heard lately that are not leaving.
func (e *Entry) liveMembers() (once.Live, []once.Live) {
	self := once.Live{Member: e.claims.self, Hall: domain.HallName(e.settings.Hall)}
	live := []once.Live{self}
	now := time.Now()
	for _, p := range e.peers.all() {
		if now.Sub(p.heardAt) < peerLiveFor && p.box.State() == domain.BoxLive {
			m := once.Member{Box: p.box.ID(), Incarnation: p.box.Incarnation()}
			live = append(live, once.Live{Member: m, Hall: p.box.Hall()})
		}
	}
	return self, live
}

// takeOver writes this box as primary of shards whose other holder is lost, or
// else evens out the shards.
func (e *Entry) takeOver(ctx context.Context) {
	if e.leaving.Load() {
		return
	}
	self, live := e.liveMembers()
	var next once.Table
	var changed bool
	e.claims.with(func(h *once.Holder) {
		if next, changed = h.Survive(self, live); !changed {
			next, changed = h.Balance(live)
		}
	})
	if changed {
		e.common.Log.Info("changing the table of keys", "live", len(live))
		e.writeClaimTable(ctx, next, next.Version())
	}
}

// takeOrphans takes shards with no holder left, once their leases have lapsed.
func (e *Entry) takeOrphans(ctx context.Context) {
	if e.leaving.Load() {
		return
	}
	self, live := e.liveMembers()
	var orphans []once.Shard
	var table once.Table
	e.claims.with(func(h *once.Holder) { orphans, table = h.Orphans(self, live), h.Table() })
	looked := map[once.Member]bool{}
	lapsed := func(m once.Member) bool {
		if over, ok := looked[m]; ok {
			return over
		}
		looked[m] = e.lapsed(ctx, m)
		return looked[m]
	}
	var free []once.Shard
	for _, s := range orphans {
		if a := table.Of(s); lapsed(a.Primary) && lapsed(a.Backup) {
			free = append(free, s)
		}
	}
	if len(free) > 0 {
		e.common.Log.Warn("taking keys with an empty memory", "shards", len(free))
		e.writeClaimTable(ctx, table.Forget(time.Now(), self, live, free), table.Version())
	}
}

// lapsed tells whether the lease of a lost member is over by this box's clock.
func (e *Entry) lapsed(ctx context.Context, m once.Member) bool {
	if m == once.None || m == e.claims.self {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := e.store.Get(ctx, boxLeaseKey(m))
	e.countPlatform("lease_look", err)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return false
	}
	t := e.claims
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.watching[m]
	if !ok {
		o := lease.NewObserver(e.settings.KeyLease.Std())
		w = &o
		t.watching[m] = w
	}
	w.Saw(time.Now(), o.Version())
	return w.Lapsed(time.Now())
}

// syncBackups sends whole memories to new backups.
func (e *Entry) syncBackups(ctx context.Context) {
	var syncs []once.Sync
	e.claims.with(func(h *once.Holder) { syncs = h.Syncs() })
	for _, s := range syncs {
		cctx, cancel := context.WithTimeout(ctx, callTimeout)
		ok := e.copyTo(cctx, s.Backup, s.Shard, s.Epoch, s.Entries, true)
		cancel()
		if ok {
			e.claims.with(func(h *once.Holder) { h.Synced(s.Shard, s.Epoch) })
		}
	}
}
