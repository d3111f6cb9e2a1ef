package config

import (
	"time"

	"clovertrail.dev/core/fault"
	"clovertrail.dev/store"
)

// Command is what a proposal's owner must do next. The set is closed: ReadHead,
// WriteCheckpoint, WriteHead and Finish.
type Command interface{ command() }

// ReadHead asks for the head object; answer with HeadRead.
type ReadHead struct{}

// WriteCheckpoint asks to create the checkpoint; answer with CheckpointWritten.
type WriteCheckpoint struct {
	Key   string
	Value []byte
}

// WriteHead asks to put the head; answer with HeadWritten.
type WriteHead struct {
	Value  []byte
	Expect store.Version
}

// Finish ends the proposal. Err is a *fault.Error; its table row tells the truth
// about whether the change was made.
type Finish struct {
	Outcome Outcome
	Err     error
}

func (ReadHead) command()        {}
func (WriteCheckpoint) command() {}
func (WriteHead) command()       {}
func (Finish) command()          {}

// Proposal carries one operation until it is accepted, refused, or its deadline
// passes. The operation's id is in the log with its change, so a write whose
// answer was lost is found again, and is never made twice.
type Proposal struct {
	op       Operation
	deadline time.Time
	head     Head
	version  store.Version
	maybe    bool // a write was sent whose answer did not come
}

// NewProposal returns the proposal of the operation.
func NewProposal(op Operation, deadline time.Time) *Proposal {
	return &Proposal{op: op, deadline: deadline}
}

// Start gives the first command.
func (p *Proposal) Start() Command { return ReadHead{} }

// HeadRead takes the head, its version, and a replica that has caught up with
// it. A missing head is the zero Head with version zero.
func (p *Proposal) HeadRead(now time.Time, h Head, v store.Version, r *Replica, err error) Command {
	if err != nil {
		return p.again(now, err)
	}
	if r.Seq() != h.Seq() {
		return p.again(now, ErrGap) // the replica knows a newer head: this read was stale
	}
	if done, ok := r.Done(p.op.id); ok {
		return p.finishDone(done)
	}
	if err := p.check(r); err != nil {
		return Finish{Err: err}
	}
	p.head, p.version = h, v
	if h.full() {
		return p.checkpoint(r)
	}
	return p.write(now)
}

func (p *Proposal) finishDone(done Outcome) Command {
	if !p.op.same(done) {
		return Finish{Err: fault.New(fault.BadRequest, "operation id %q was used for another operation", p.op.id).Field("operation_id")}
	}
	return Finish{Outcome: done}
}

func (p *Proposal) check(r *Replica) error {
	item, exists := r.items[p.op.key]
	if p.op.expect != nil && *p.op.expect != item.version {
		return fault.New(fault.VersionConflict, "%s %q has version %d, not %d", p.op.key.kind, p.op.key.name, item.version, *p.op.expect)
	}
	if p.op.object == nil && !exists {
		return fault.New(fault.NotFound, "there is no %s %q", p.op.key.kind, p.op.key.name)
	}
	return nil
}

func (p *Proposal) checkpoint(r *Replica) Command {
	value, err := r.Snapshot().Encode()
	if err != nil {
		return Finish{Err: fault.Wrap(fault.Internal, err)}
	}
	return WriteCheckpoint{Key: CheckpointKey(p.head.Seq()), Value: value}
}

// CheckpointWritten takes the answer to WriteCheckpoint. That the checkpoint
// exists already is as good as having written it.
func (p *Proposal) CheckpointWritten(now time.Time, err error) Command {
	if err != nil && !isConflict(err) {
		return p.again(now, err)
	}
	p.head = p.head.trimmed()
	return p.write(now)
}

func (p *Proposal) write(now time.Time) Command {
	c, err := p.op.change(p.head.Seq()+1, now)
	if err != nil {
		return Finish{Err: fault.Wrap(fault.InvalidObject, err)}
	}
	value, err := p.head.with(c).Encode()
	if err != nil {
		return Finish{Err: fault.Wrap(fault.Internal, err)}
	}
	return WriteHead{Value: value, Expect: p.version}
}

// HeadWritten takes the answer to WriteHead.
func (p *Proposal) HeadWritten(now time.Time, err error) Command {
	if err == nil {
		out := Outcome{key: p.op.key, version: p.head.Seq() + 1, deleted: p.op.object == nil}
		return Finish{Outcome: out}
	}
	if isUnknown(err) {
		p.maybe = true
	}
	return p.again(now, err)
}

// again reads the head once more unless the deadline has passed. A write whose
// fate is unknown may land late, but only at the version it expected, so the
// next write at that version and it exclude each other.
func (p *Proposal) again(now time.Time, cause error) Command {
	if now.Before(p.deadline) {
		return ReadHead{}
	}
	if p.maybe {
		return Finish{Err: fault.New(fault.OutcomeUnknown, "operation %q: %v", p.op.id, cause)}
	}
	return Finish{Err: fault.New(fault.PlatformUnavailable, "operation %q: %v", p.op.id, cause)}
}
