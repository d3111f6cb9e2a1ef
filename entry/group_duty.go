package entry

import (
	"context"
	"encoding/json"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/experts"
	"clovertrail.dev/lease"
	"clovertrail.dev/mapswitch"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/wire"
	"clovertrail.dev/wire/wirepb"
)

const (
	switchLead   mapswitch.Step = 60 // steps ahead; more than a switch takes in messages
	stagePoll                   = 100 * time.Millisecond
	stageTimeout                = 2 * time.Minute
	switchTries                 = 3
	resendEvery                 = 300 * time.Millisecond
	switchFor                   = 5 * time.Second
	keptHistory                 = 20
	statusEvery                 = 10 * time.Second
)

// groupDuty is one box's duty for one group: it plans while it holds the lease.
type groupDuty struct {
	e     *Entry
	name  domain.GroupName
	lease *lease.Lease

	current    experts.Map // as the ranks use it; known once fresh is false
	version    mapswitch.Version
	fresh      bool
	round0     uint64 // rounds of ballots used so far
	estimator  *experts.Estimator
	stragglers *experts.Stragglers
	status     GroupStatus
	statusAt   time.Time
}

// GroupStatus is what operators see of a group.
type GroupStatus struct {
	Group   domain.GroupName  `json:"group"`
	Holder  domain.BoxID      `json:"holder"`
	Version mapswitch.Version `json:"map_version"`
	Skew    float64           `json:"skew"`
	Plan    string            `json:"last_plan"`
	At      time.Time         `json:"at"`
	History []SwitchRecord    `json:"history"`
}

// SwitchRecord is one switch of a group.
type SwitchRecord struct {
	At      time.Time         `json:"at"`
	Version mapswitch.Version `json:"map_version"`
	Step    mapswitch.Step    `json:"step"`
	Outcome mapswitch.Outcome `json:"outcome"`
	Reason  mapswitch.Reason  `json:"reason,omitempty"`
	Moves   int               `json:"moves"`
	Before  float64           `json:"skew_before"`
	After   float64           `json:"skew_after"`
}

// GroupStatusKey is the key of a group's status in the platform.
func GroupStatusKey(name string) string { return "status/group/" + name }

func newGroupDuty(e *Entry, name domain.GroupName) *groupDuty {
	return &groupDuty{
		e: e, name: name, fresh: true,
		lease: lease.New("lease/group/"+string(name), e.ballotOwner(), groupLeaseTerm),
	}
}

// ballotOwner is unique to this process.
func (e *Entry) ballotOwner() string { return boxLeaseKey(e.claims.self) }

// rest drops what was learnt, because another box may plan now.
func (d *groupDuty) rest() { d.fresh = true }

// round looks at the group once and changes its map if that is worth while.
func (d *groupDuty) round(ctx context.Context, g domain.Group, fence lease.Fence) {
	clients, err := d.e.rankClients(g)
	if err != nil {
		d.plan("rank_unreachable")
		return
	}
	if d.fresh && !d.learn(ctx, g, clients) {
		return
	}
	load, speeds, ok := d.observe(ctx, clients)
	if !ok {
		d.plan("rank_unreachable")
		return
	}
	d.e.common.Metrics.Set(telemetry.StepSkew, string(d.name), d.current.Skew(load, speeds))
	d.status.Skew = d.current.Skew(load, speeds)
	if g.Paused() {
		d.plan("paused")
		return
	}
	planner := experts.NewPlanner(g.Objective(), experts.DefaultTuning()).Doubting(d.estimator.Doubt())
	switch p := planner.Plan(d.current, load, speeds).(type) {
	case experts.Stay:
		d.plan(string(p.Reason))
		d.status.Plan = p.Text
	case experts.Change:
		d.plan("changed")
		d.status.Plan = p.Text
		d.change(ctx, clients, p, fence)
	}
	d.publish(ctx)
}

func (d *groupDuty) plan(reason string) { d.e.common.Metrics.Count(telemetry.MapPlans, reason, 1) }

// learn settles what an earlier coordinator left and reads the map in use.
func (d *groupDuty) learn(ctx context.Context, g domain.Group, clients []wirepb.AgentClient) bool {
	d.drive(ctx, clients, 0)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := clients[0].Stats(ctx, &wirepb.StatsRequest{Group: string(g.Name()), WantMap: true})
	if err != nil {
		return false
	}
	var m experts.Map
	if err := json.Unmarshal(reply.GetMap(), &m); err != nil {
		d.e.common.Log.Error("map of a rank", "group", d.name, "err", err)
		return false
	}
	d.current, d.version = m, mapswitch.Version(reply.GetVersion())
	d.estimator = experts.NewEstimator(m.Shape(), experts.DefaultEstimatorTuning())
	d.stragglers = experts.NewStragglers(m.Shape())
	d.fresh = false
	return true
}

// observe asks all ranks what they have done.
func (d *groupDuty) observe(ctx context.Context, clients []wirepb.AgentClient) (experts.Load, experts.Speeds, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := make([]*wirepb.StatsReply, len(clients))
	err := eachRank(clients, func(i int, c wirepb.AgentClient) error {
		var err error
		replies[i], err = c.Stats(ctx, &wirepb.StatsRequest{Group: string(d.name)})
		return err
	})
	if err != nil {
		return nil, nil, false
	}
	shape := d.current.Shape()
	sum := experts.NewLoad(shape)
	work, micros := make([]float64, len(clients)), make([]float64, len(clients))
	for i, r := range replies {
		for j, t := range r.GetTokens() {
			sum[j/shape.Experts()][j%shape.Experts()] += t
		}
		work[i], micros[i] = r.GetRankTokens(), r.GetRankMicros()
		if mapswitch.Version(r.GetVersion()) > d.version {
			d.fresh = true // somebody else switched; learn the map anew
		}
	}
	return d.estimator.Add(sum), d.stragglers.Add(work, micros), !d.fresh
}

// change goes through the batches; the first that fails ends it, and the next
// round plans from the map that is in use then.
func (d *groupDuty) change(ctx context.Context, clients []wirepb.AgentClient, c experts.Change, fence lease.Fence) {
	for _, b := range c.Batches {
		v := d.version + 1
		if !d.stage(ctx, clients, v, b.Map, fence) {
			d.plan("not_staged")
			d.fresh = true
			return
		}
		o := d.drive(ctx, clients, v)
		d.record(o, v, len(b.Moves), c)
		if o.Outcome() != mapswitch.Committed {
			d.fresh = true
			return
		}
		d.version, d.current = v, b.Map
		moved := int64(len(b.Moves))
		d.e.common.Metrics.Count(telemetry.MovedExperts, string(d.name), int(moved))
		d.e.common.Metrics.Count(telemetry.MovedBytes, string(d.name), int(moved*b.Map.Shape().Bytes()))
	}
}

// stage makes every rank load what the map needs, and waits until all have.
func (d *groupDuty) stage(ctx context.Context, clients []wirepb.AgentClient, v mapswitch.Version, m experts.Map, fence lease.Fence) bool {
	raw, err := json.Marshal(m)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	req := &wirepb.StageRequest{Group: string(d.name), Fence: uint64(fence), Version: uint64(v), Map: raw}
	err = eachRank(clients, func(_ int, c wirepb.AgentClient) error { return stageRank(ctx, c, req) })
	if err != nil {
		d.e.common.Log.Warn("staging", "group", d.name, "version", v, "err", err)
	}
	return err == nil
}

func stageRank(ctx context.Context, c wirepb.AgentClient, req *wirepb.StageRequest) error {
	for {
		reply, err := c.Stage(ctx, req)
		switch {
		case err != nil:
			return err
		case reply.GetRefusal() != nil:
			return wire.Refused(reply.GetRefusal())
		case reply.GetStaged():
			return nil
		}
		sleepUntil(ctx, time.Now().Add(stagePoll), nil)
		if ctx.Err() != nil {
			return fault.New(fault.DeadlineUnmeetable, "not staged in time")
		}
	}
}

// settle finishes or calls off what a lost coordinator left.
func (d *groupDuty) settle(ctx context.Context, g domain.Group) {
	clients, err := d.e.rankClients(g)
	if err != nil {
		return
	}
	o := d.drive(ctx, clients, 0)
	d.e.common.Log.Info("settled a switch", "group", d.name, "outcome", o.Outcome())
}

// answer is a rank's answer on its way to the coordinator.
type answer struct {
	from    int
	message mapswitch.Message
}

// drive carries attempts with rising ballots until one ends other than outvoted.
func (d *groupDuty) drive(ctx context.Context, clients []wirepb.AgentClient, v mapswitch.Version) *mapswitch.Coordinator {
	var c *mapswitch.Coordinator
	for range switchTries {
		d.round0++
		b := mapswitch.Ballot{Round: d.round0, Owner: d.e.ballotOwner()}
		c = mapswitch.NewCoordinator(firstEpoch, b, len(clients), v, switchLead)
		d.attempt(ctx, clients, c)
		d.round0 = max(d.round0, c.Highest().Round)
		if c.Outcome() != mapswitch.Outvoted {
			break
		}
	}
	if o := c.Outcome(); o != mapswitch.Running && (v != 0 || c.Decided().Version != 0) {
		d.e.common.Metrics.Count(telemetry.MapSwitches, string(o), 1)
	}
	return c
}

const firstEpoch mapswitch.Epoch = 1

// attempt passes messages until the coordinator is done or its time is over; then
// another attempt, here or elsewhere, finds out how it stands.
func (d *groupDuty) attempt(ctx context.Context, clients []wirepb.AgentClient, c *mapswitch.Coordinator) {
	ctx, cancel := context.WithTimeout(ctx, switchFor)
	defer cancel()
	answers := make(chan answer, 4*len(clients))
	send := func(list []mapswitch.Send) {
		for _, s := range list {
			go d.ask(ctx, clients[s.To], s, answers)
		}
	}
	send(c.Start())
	ticks := time.NewTicker(resendEvery)
	defer ticks.Stop()
	for c.Outcome() == mapswitch.Running {
		select {
		case <-ctx.Done():
			return
		case a := <-answers:
			send(c.Handle(a.from, a.message))
		case <-ticks.C:
			send(c.Resend())
		}
	}
}

func (d *groupDuty) ask(ctx context.Context, client wirepb.AgentClient, s mapswitch.Send, answers chan<- answer) {
	body, err := mapswitch.Encode(s.Message)
	if err != nil {
		return
	}
	reply, err := client.Switch(ctx, &wirepb.SwitchMessage{Group: string(d.name), Body: body})
	if err != nil {
		return // it is asked again
	}
	m, err := mapswitch.Decode(reply.GetBody())
	if err != nil {
		return
	}
	select {
	case answers <- answer{s.To, m}:
	case <-ctx.Done():
	}
}

// record keeps the switch for operators.
func (d *groupDuty) record(c *mapswitch.Coordinator, v mapswitch.Version, moves int, p experts.Change) {
	r := SwitchRecord{
		At: time.Now(), Version: v, Step: c.Decided().Step, Outcome: c.Outcome(), Reason: c.Reason(),
		Moves: moves, Before: p.Before, After: p.After,
	}
	d.e.common.Log.Info("map switch", "group", d.name, "version", v, "outcome", r.Outcome, "reason", r.Reason, "moves", moves, "step", r.Step)
	d.status.History = append(d.status.History, r)
	if len(d.status.History) > keptHistory {
		d.status.History = d.status.History[1:]
	}
}

// publish writes the status for operators, not more often than statusEvery.
func (d *groupDuty) publish(ctx context.Context) {
	if time.Since(d.statusAt) < statusEvery {
		return
	}
	d.statusAt = time.Now()
	d.status.Group, d.status.Holder, d.status.Version, d.status.At = d.name, d.e.Box(), d.version, d.statusAt
	raw, err := json.Marshal(d.status)
	if err == nil {
		d.e.putStatus(ctx, GroupStatusKey(string(d.name)), raw)
	}
}
