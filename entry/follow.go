package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"clovertrail.dev/config"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/wire/wirepb"
)

const callTimeout = 2 * time.Second

// followConfig does what the follower says until ctx ends.
func (e *Entry) followConfig(ctx context.Context) {
	var version store.Version
	for ctx.Err() == nil {
		var src config.Source
		e.config.follow(func(f *config.Follower) { src = f.Next(time.Now()) })
		switch s := src.(type) {
		case config.WatchPlatform:
			version = e.watchHead(ctx, s.Until, version)
		case config.ReadPlatform:
			version = e.readHead(ctx, version)
		case config.AskPeer:
			e.askPeer(ctx, s.Peer)
		case config.Rest:
			sleepUntil(ctx, s.Until, e.config.wake)
		}
	}
}

// watchHead waits for a new head, and reads it when the watch says nothing.
func (e *Entry) watchHead(ctx context.Context, until time.Time, since store.Version) store.Version {
	if e.unconfirmed() {
		return e.confirmHead(ctx, since)
	}
	wctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	stop := context.AfterFunc(ctx, cancel)
	defer stop()
	go e.cancelOnNudge(wctx, cancel)
	o, err := e.store.Watch(wctx, config.HeadKey, since)
	if wctx.Err() != nil && ctx.Err() == nil {
		return e.readHead(ctx, since)
	}
	return e.tookHead(ctx, o, err, since)
}

// cancelOnNudge ends a watch when a peer is ahead.
func (e *Entry) cancelOnNudge(ctx context.Context, cancel func()) {
	select {
	case <-ctx.Done():
	case <-e.config.wake:
		cancel()
	}
}

func (e *Entry) unconfirmed() bool {
	var u bool
	e.config.follow(func(f *config.Follower) { u = f.Unconfirmed() })
	return u
}

func (e *Entry) readHead(ctx context.Context, since store.Version) store.Version {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := e.store.Get(ctx, config.HeadKey)
	return e.tookHead(ctx, o, err, since)
}

// confirmHead proves with a conditional write of the unchanged head that the
// read was not stale, so that a box that starts again never falls back.
func (e *Entry) confirmHead(ctx context.Context, since store.Version) store.Version {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := e.store.Get(ctx, config.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		raw, _ := config.Head{}.Encode() // an empty head always has a form
		o, err = store.NewObject(config.HeadKey, raw, 0), nil
	}
	if err != nil {
		return e.tookHead(ctx, o, err, since)
	}
	v, err := e.store.Put(ctx, config.HeadKey, o.Value(), o.Version())
	if err != nil {
		e.countPlatform("confirm", err)
		e.config.follow(func(f *config.Follower) { f.PlatformAnswered(time.Now(), err) })
		return since
	}
	v = e.tookHead(ctx, store.NewObject(config.HeadKey, o.Value(), v), nil, since)
	e.config.follow(func(f *config.Follower) { f.Confirmed() })
	return v
}

// tookHead applies a head that was read or watched. A head that does not exist
// is as good as an empty one.
func (e *Entry) tookHead(ctx context.Context, o store.Object, err error, since store.Version) store.Version {
	if errors.Is(err, store.ErrNotFound) {
		err = nil
	}
	if err == nil && o.Version() > since {
		_, err = e.applyHead(ctx, o)
	}
	e.countPlatform("head", err)
	e.config.follow(func(f *config.Follower) { f.PlatformAnswered(time.Now(), err) })
	if err != nil {
		return since
	}
	return max(since, o.Version())
}

// applyHead brings the replica to the head, through the checkpoint if need be.
func (e *Entry) applyHead(ctx context.Context, o store.Object) (config.Head, error) {
	if o.Version() == 0 {
		return config.Head{}, nil
	}
	h, err := config.DecodeHead(o.Value())
	if err != nil {
		return h, err
	}
	moved, err := e.config.advance(func(r *config.Replica) error { return r.Apply(h.Changes()) })
	if errors.Is(err, config.ErrGap) {
		moved, err = e.applyCheckpoint(ctx, h)
	}
	if moved {
		e.noteApplied("platform")
	}
	return h, err
}

func (e *Entry) applyCheckpoint(ctx context.Context, h config.Head) (bool, error) {
	o, err := e.store.Get(ctx, config.CheckpointKey(h.Checkpoint()))
	if err != nil {
		return false, err
	}
	s, err := config.DecodeSnapshot(o.Value())
	if err != nil {
		return false, err
	}
	return e.config.advance(func(r *config.Replica) error {
		r.Install(s)
		return r.Apply(h.Changes())
	})
}

// noteApplied tells peers at once that there is something to fetch.
func (e *Entry) noteApplied(from string) {
	seq := e.config.seq()
	e.common.Metrics.Count(telemetry.ConfigApplied, from, 1)
	e.common.Metrics.Set(telemetry.ConfigSeq, "", float64(seq))
	e.common.Log.Info("configuration in force", "seq", seq, "from", from)
	e.kickExchange()
}

func (e *Entry) countPlatform(call string, err error) {
	end := call + "_ok"
	if err != nil {
		end = call + "_failed"
	}
	e.common.Metrics.Count(telemetry.PlatformCalls, end, 1)
}

// askPeer fetches the changes that a peer has.
func (e *Entry) askPeer(ctx context.Context, peer domain.BoxID) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := e.fetchFrom(ctx, peer)
	e.config.follow(func(f *config.Follower) { f.PeerAsked(time.Now(), peer, err) })
}

func (e *Entry) fetchFrom(ctx context.Context, peer domain.BoxID) error {
	client, err := e.conns.entry(e.peers.address(peer))
	if err != nil {
		return err
	}
	reply, err := client.Changes(ctx, &wirepb.ChangesRequest{Since: uint64(e.config.seq())})
	if err != nil {
		return err
	}
	changes, err := decodeChanges(reply.GetChanges())
	if err != nil {
		return err
	}
	moved, err := e.config.advance(func(r *config.Replica) error {
		if raw := reply.GetSnapshot(); len(raw) > 0 {
			s, err := config.DecodeSnapshot(raw)
			if err != nil {
				return err
			}
			r.Install(s)
		}
		return r.Apply(changes)
	})
	if moved {
		e.noteApplied("peer")
	} else if err == nil {
		err = errNothingNew // leave this peer alone for a while
	}
	return err
}

func decodeChanges(raw [][]byte) ([]config.Change, error) {
	changes := make([]config.Change, len(raw))
	for i, r := range raw {
		if err := json.Unmarshal(r, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// Changes implements wirepb.EntryServer.
func (e *Entry) Changes(_ context.Context, r *wirepb.ChangesRequest) (*wirepb.ChangesReply, error) {
	reply := &wirepb.ChangesReply{}
	var err error
	e.config.view(func(rep *config.Replica) {
		reply.Seq = uint64(rep.Seq())
		changes, whole := rep.Since(config.Seq(r.GetSince()))
		if !whole {
			reply.Snapshot, err = rep.Snapshot().Encode()
			return
		}
		for _, c := range changes {
			raw, _ := json.Marshal(c) // it was decoded from JSON
			reply.Changes = append(reply.Changes, raw)
		}
	})
	return reply, err
}

// Propose carries an operation until it is accepted, refused, or ctx's deadline
// passes.
func (e *Entry) Propose(ctx context.Context, op config.Operation) (config.Outcome, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	p := config.NewProposal(op, deadline)
	reads := 0
	for cmd := p.Start(); ; {
		switch c := cmd.(type) {
		case config.ReadHead:
			if reads++; reads > 1 {
				sleepUntil(ctx, time.Now().Add(proposePause), nil) // whatever failed, the platform is not hammered
			}
			cmd = e.proposeRead(ctx, p)
		case config.WriteCheckpoint:
			_, err := e.store.Put(ctx, c.Key, c.Value, 0)
			e.countPlatform("checkpoint", err)
			cmd = p.CheckpointWritten(time.Now(), err)
		case config.WriteHead:
			_, err := e.store.Put(ctx, config.HeadKey, c.Value, c.Expect)
			e.countPlatform("propose", err)
			cmd = p.HeadWritten(time.Now(), err)
			if err == nil {
				e.readHead(ctx, 0)
			}
		case config.Finish:
			return c.Outcome, c.Err
		}
	}
}

const proposePause = 20 * time.Millisecond

func (e *Entry) proposeRead(ctx context.Context, p *config.Proposal) config.Command {
	o, err := e.store.Get(ctx, config.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		o, err = store.Object{}, nil
	}
	var h config.Head
	if err == nil {
		h, err = e.applyHead(ctx, o)
	}
	if err != nil && ctx.Err() != nil && fault.Find(err) == nil {
		err = fault.Wrap(fault.PlatformUnavailable, err)
	}
	var cmd config.Command
	e.config.view(func(r *config.Replica) { cmd = p.HeadRead(time.Now(), h, o.Version(), r, err) })
	return cmd
}
