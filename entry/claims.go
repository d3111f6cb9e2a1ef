package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/lease"
	"clovertrail.dev/once"
	"clovertrail.dev/store"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/wire"
	"clovertrail.dev/wire/wirepb"
)

// claimTable guards this box's part in holding keys.
type claimTable struct {
	self once.Member

	mu       sync.Mutex
	holder   *once.Holder
	lease    *lease.Lease
	newest   store.Version // of the table, as far as heard
	watching map[once.Member]*lease.Observer
}

func newClaimTable(s Settings, inc domain.Incarnation) *claimTable {
	self := once.Member{Box: domain.BoxID(s.Box), Incarnation: inc}
	return &claimTable{
		self:     self,
		holder:   once.NewHolder(self, s.HeldAnswersBytes),
		lease:    lease.New(boxLeaseKey(self), s.Box, s.KeyLease.Std()),
		watching: map[once.Member]*lease.Observer{},
	}
}

// boxLeaseKey names the lease of one incarnation of a box.
func boxLeaseKey(m once.Member) string {
	return "lease/box/" + string(m.Box) + "." + strconv.FormatUint(uint64(m.Incarnation), 10)
}

func (t *claimTable) with(f func(*once.Holder)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.holder)
}

func (t *claimTable) version() store.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder.Table().Version()
}

func (t *claimTable) heardVersion(v store.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = max(t.newest, v)
}

// serveOnce claims the request's key before it runs.
func (e *Entry) serveOnce(ctx context.Context, w http.ResponseWriter, c *call) {
	replay, err := e.claim(ctx, c)
	if err != nil {
		e.common.Metrics.Count(telemetry.ClaimVerdicts, string(fault.KindOf(err)), 1)
		e.refuse(w, c.id, err)
		return
	}
	if replay != nil {
		e.common.Metrics.Count(telemetry.ClaimVerdicts, "replayed", 1)
		e.replay(w, c, replay)
		return
	}
	e.common.Metrics.Count(telemetry.ClaimVerdicts, "granted", 1)
	rec := &answerRecord{limit: e.settings.HeldAnswerBytes, settle: func(end once.Stage, a *once.Answer) {
		e.settle(context.WithoutCancel(ctx), c, end, a)
	}}
	e.serve(ctx, w, c, rec)
}

// replay answers with the answer of the key's first request.
func (e *Entry) replay(w http.ResponseWriter, c *call, a *once.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(RequestHeader, c.id)
	h.Set(ReplayedHeader, "yes")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the caller may be gone
}

func (c *call) digest() []byte {
	sum := sha256.New()
	for _, part := range []string{string(c.service.Name()), c.method, c.path} {
		sum.Write([]byte(part + "\x00"))
	}
	sum.Write(c.body)
	return sum.Sum(nil)
}

func (c *call) onceKey() once.Key { return once.Key{Org: c.org.Name(), Text: c.key} }

// claim asks the primary of the key's shard, which may be this box.
func (e *Entry) claim(ctx context.Context, c *call) (*once.Answer, error) {
	req := &wirepb.ClaimRequest{
		Organisation: string(c.org.Name()), Key: c.key, Digest: c.digest(),
		RequestId: c.id, DeadlineUnixMs: wire.Millis(c.deadline),
	}
	reply, err := e.askPrimary(ctx, c, req)
	if err != nil {
		return nil, err
	}
	switch {
	case reply.GetRequestId() != c.id:
		return nil, fault.New(fault.MismatchedAnswer, "got the claim of %s", reply.GetRequestId())
	case reply.GetGranted():
		return nil, nil
	case reply.GetRefusal() != nil:
		return nil, wire.Refused(reply.GetRefusal())
	}
	var a once.Answer
	if err := json.Unmarshal(reply.GetAnswer(), &a); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	return &a, nil
}

// askPrimary gives up with "not run" however the question ends: without a grant
// in hand nothing is sent to a target.
func (e *Entry) askPrimary(ctx context.Context, c *call, req *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	primary := e.primaryOf(c.onceKey())
	if primary == e.claims.self {
		return e.Claim(ctx, req)
	}
	client, err := e.conns.entry(e.peers.addressOf(primary))
	if err != nil {
		return nil, unreachable(err)
	}
	reply, err := client.Claim(ctx, req)
	if err != nil {
		return nil, unreachable(err)
	}
	return reply, nil
}

func unreachable(err error) error {
	return fault.New(fault.KeyOwnerUnreachable, "%v", err).RetryAt(time.Now().Add(time.Second))
}

func (e *Entry) primaryOf(k once.Key) once.Member {
	var m once.Member
	e.claims.with(func(h *once.Holder) { m = h.Table().Of(k.Shard(once.Shards)).Primary })
	return m
}

// Claim implements wirepb.EntryServer.
func (e *Entry) Claim(ctx context.Context, r *wirepb.ClaimRequest) (*wirepb.ClaimReply, error) {
	req := once.Request{
		Key:    once.Key{Org: domain.OrganisationName(r.GetOrganisation()), Text: r.GetKey()},
		Digest: r.GetDigest(), ID: r.GetRequestId(), Deadline: wire.Time(r.GetDeadlineUnixMs()),
	}
	var d once.Decision
	e.claims.with(func(h *once.Holder) { d = h.Claim(time.Now(), req) })
	if c, ok := d.(once.Copy); ok {
		accepted := e.copyTo(ctx, c.Backup, c.Shard, c.Epoch, []once.Entry{c.Entry}, false)
		e.claims.with(func(h *once.Holder) { d = h.Copied(time.Now(), c, accepted) })
	}
	reply := &wirepb.ClaimReply{RequestId: r.GetRequestId()}
	switch d := d.(type) {
	case once.Granted:
		reply.Granted = true
	case once.Refused:
		reply.Refusal = wire.Refuse(d.Err)
	case once.Replay:
		reply.Answer, _ = json.Marshal(d.Answer) // it came from JSON
	}
	return reply, nil
}

// copyTo sends entries to the backup and tells whether it acknowledged them.
func (e *Entry) copyTo(ctx context.Context, to once.Member, s once.Shard, epoch uint64, entries []once.Entry, whole bool) bool {
	client, err := e.conns.entry(e.peers.addressOf(to))
	if err != nil {
		return false
	}
	raw, err := json.Marshal(entries)
	if err != nil {
		return false
	}
	reply, err := client.Copy(ctx, &wirepb.CopyRequest{Shard: uint32(s), Epoch: epoch, Whole: whole, Entries: raw})
	return err == nil && reply.GetAccepted()
}

// Copy implements wirepb.EntryServer.
func (e *Entry) Copy(ctx context.Context, r *wirepb.CopyRequest) (*wirepb.CopyReply, error) {
	var entries []once.Entry
	if err := json.Unmarshal(r.GetEntries(), &entries); err != nil {
		return nil, wire.Status(fault.Wrap(fault.BadRequest, err))
	}
	e.refreshIfBehind(ctx, once.Shard(r.GetShard()), r.GetEpoch())
	var ok bool
	e.claims.with(func(h *once.Holder) {
		ok = h.Accept(time.Now(), once.Shard(r.GetShard()), r.GetEpoch(), entries, r.GetWhole())
	})
	return &wirepb.CopyReply{Accepted: ok}, nil
}

// refreshIfBehind reads the table when the sender knows a later epoch.
func (e *Entry) refreshIfBehind(ctx context.Context, s once.Shard, epoch uint64) {
	var have uint64
	e.claims.with(func(h *once.Holder) { have = h.Table().Of(s).Epoch })
	if epoch > have {
		e.readClaimTable(ctx)
	}
}

// settle tells the key's primary how the request ended. If it is not heard, the
// key stays claimed, which refuses copies and runs nothing.
func (e *Entry) settle(ctx context.Context, c *call, end once.Stage, a *once.Answer) {
	req := &wirepb.SettleRequest{Organisation: string(c.org.Name()), Key: c.key, RequestId: c.id, Ran: end == once.Ran}
	if a != nil {
		req.Answer, _ = json.Marshal(a) // plain fields always have a form
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	primary := e.primaryOf(c.onceKey())
	if primary == e.claims.self {
		_, _ = e.Settle(ctx, req) // cannot fail
		return
	}
	if client, err := e.conns.entry(e.peers.addressOf(primary)); err == nil {
		_, _ = client.Settle(ctx, req) // see above
	}
}

// Settle implements wirepb.EntryServer.
func (e *Entry) Settle(ctx context.Context, r *wirepb.SettleRequest) (*wirepb.SettleReply, error) {
	end := once.Released
	if r.GetRan() {
		end = once.Ran
	}
	var answer *once.Answer
	if raw := r.GetAnswer(); len(raw) > 0 {
		answer = new(once.Answer)
		if err := json.Unmarshal(raw, answer); err != nil {
			answer = nil
		}
	}
	key := once.Key{Org: domain.OrganisationName(r.GetOrganisation()), Text: r.GetKey()}
	var c once.Copy
	var send bool
	e.claims.with(func(h *once.Holder) { c, send = h.Settle(key, r.GetRequestId(), end, answer) })
	if send {
		e.copyTo(ctx, c.Backup, c.Shard, c.Epoch, []once.Entry{c.Entry}, false)
	}
	return &wirepb.SettleReply{}, nil
}
