package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"clovertrail.dev/config"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/lease"
	"clovertrail.dev/membership"
	"clovertrail.dev/once"
	"clovertrail.dev/store"
	"clovertrail.dev/wire/wirepb"
)

const (
	groupRoundEvery = 2 * time.Second
	groupLeaseTerm  = 30 * time.Second
)

// groupTable guards this box's duties for expert groups. Each duty is worked on
// by one round at a time.
type groupTable struct {
	mu     sync.Mutex
	duties map[domain.GroupName]*groupDuty
	held   map[domain.BoxID]heldRank
}

// heldRank is a rank that waits for a decision, as its agent reports.
type heldRank struct {
	group domain.GroupName
	since time.Time
}

func newGroupTable() *groupTable {
	return &groupTable{duties: map[domain.GroupName]*groupDuty{}, held: map[domain.BoxID]heldRank{}}
}

func (t *groupTable) duty(e *Entry, name domain.GroupName) *groupDuty {
	t.mu.Lock()
	defer t.mu.Unlock()
	d, ok := t.duties[name]
	if !ok {
		d = newGroupDuty(e, name)
		t.duties[name] = d
	}
	return d
}

// reported notes whether the rank on the box waits for a decision of the group;
// an empty name says that it does not.
func (t *groupTable) reported(now time.Time, box domain.BoxID, name domain.GroupName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if name == "" {
		delete(t.held, box)
	} else if t.held[box].group != name {
		t.held[box] = heldRank{group: name, since: now}
	}
}

// heldFor tells for how long a rank of the group has been held; zero if none is.
func (t *groupTable) heldFor(now time.Time, name domain.GroupName) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var longest time.Duration
	for _, h := range t.held {
		if h.group == name {
			longest = max(longest, now.Sub(h.since))
		}
	}
	return longest
}

// keepGroups does this box's duties for expert groups until ctx ends.
func (e *Entry) keepGroups(ctx context.Context) {
	for ctx.Err() == nil {
		for _, g := range e.expertGroups() {
			e.keepGroup(ctx, g)
		}
		sleepUntil(ctx, time.Now().Add(groupRoundEvery), nil)
	}
}

func (e *Entry) expertGroups() []domain.Group {
	var list []domain.Group
	e.config.view(func(r *config.Replica) {
		for _, i := range r.List(domain.KindGroup) {
			list = append(list, i.Object().(domain.Group))
		}
	})
	return list
}

// keepGroup plans for the group if this box holds its lease, and settles what a
// lost coordinator left whether it does or not: that needs no platform.
func (e *Entry) keepGroup(ctx context.Context, g domain.Group) {
	d := e.groups.duty(e, g.Name())
	fence, held := d.renew(ctx)
	if held && !e.leaving.Load() {
		d.round(ctx, g, fence)
		return
	}
	d.rest()
	if e.groups.heldFor(time.Now(), g.Name()) > e.settleAfter(g.Name()) {
		d.settle(ctx, g)
	}
}

const (
	settleFirst = 4 * time.Second // longer than a switch takes on the good path
	settleNext  = 4 * time.Second
)

// settleAfter spreads the boxes that would settle the same group, so that they
// do not outbid one another.
func (e *Entry) settleAfter(name domain.GroupName) time.Duration {
	_, live := e.liveMembers()
	for i, l := range once.Ranked(string(name), live) {
		if l.Member == e.claims.self {
			return settleFirst + time.Duration(i)*settleNext
		}
	}
	return settleFirst
}

// renew does what the lease's machine says.
func (d *groupDuty) renew(ctx context.Context) (lease.Fence, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	const steps = 2
	for range steps {
		sentAt := time.Now()
		switch c := d.lease.Next(sentAt).(type) {
		case lease.Read:
			o, err := d.e.store.Get(ctx, c.Key)
			d.e.countPlatform("group_lease_read", err)
			d.lease.WasRead(time.Now(), o.Value(), o.Version(), err)
		case lease.Write:
			v, err := d.e.store.Put(ctx, c.Key, c.Record.Encode(), c.Expect)
			d.e.countPlatform("group_lease", err)
			d.lease.WasWritten(sentAt, time.Now(), v, err)
		case lease.Rest:
			return d.lease.Held(time.Now())
		}
	}
	return d.lease.Held(time.Now())
}

// rankClients are the agents of the group's ranks, in rank order.
func (e *Entry) rankClients(g domain.Group) ([]wirepb.AgentClient, error) {
	list := make([]wirepb.AgentClient, 0, len(g.Ranks()))
	for _, id := range g.Ranks() {
		var m membership.Member
		var known bool
		e.members.with(func(t *membership.Table) { m, known = t.Get(id) })
		if !known {
			return nil, errNoAddress
		}
		client, err := e.conns.agent(m.Box().Address())
		if err != nil {
			return nil, err
		}
		list = append(list, client)
	}
	return list, nil
}

// eachRank calls f for every rank at once and joins the errors.
func eachRank(clients []wirepb.AgentClient, f func(rank int, c wirepb.AgentClient) error) error {
	failed := make([]error, len(clients))
	var wg sync.WaitGroup
	for i, c := range clients {
		wg.Go(func() { failed[i] = f(i, c) })
	}
	wg.Wait()
	return errors.Join(failed...)
}

// putStatus writes what operators see of a group; a lost write is made up for by
// the next.
func (e *Entry) putStatus(ctx context.Context, key string, raw []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := e.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	_, err = e.store.Put(ctx, key, raw, o.Version())
	e.countPlatform("group_status", err)
}
