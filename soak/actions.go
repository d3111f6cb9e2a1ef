package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
	"clovertrail.dev/soak/faultproxy"
)

// faultScope is the component that a fault affects. It decides which violations of guarantees the
// fault excuses.
type faultScope int

const (
	scopeNone faultScope = iota
	// scopeBox is the box that was drawn.
	scopeBox
	// scopeBoxStore is the connection of the box that was drawn to the store.
	scopeBoxStore
	// scopeStore is the store, for all boxes.
	scopeStore
	scopeTarget
)

// action is a fault or planned work that lasts for some time.
type action struct {
	name string
	// affects is the scope of the fault; scopeNone for planned work.
	affects faultScope
	// run injects the fault, calls wait, which returns at the end of the action, and removes the fault.
	run func(e *environment, r *rand.Rand, _ *box, wait func())
}

// actions are all actions that may be drawn. Those that are more frequent on real platforms are listed
// twice.
var actions = []action{
	{"kill", scopeBox, signalBox(syscall.SIGKILL)},
	{"kill", scopeBox, signalBox(syscall.SIGKILL)},
	{"pause", scopeBox, pauseBox},
	{"stop", scopeNone, stopBox},
	{"stop", scopeNone, stopBox},
	{"read settings again", scopeNone, signalBox(syscall.SIGHUP)},
	{"store busy", scopeStore, storeFailure(standin.Unavailable, 0)},
	{"store silent", scopeStore, storeFailure(standin.Unresponsive, 0)},
	{"store slow", scopeStore, storeFailure(standin.Healthy, 200*time.Millisecond)},
	{"store forgets", scopeStore, func(e *environment, _ *rand.Rand, _ *box, wait func()) { e.store.Compact(); wait() }},
	{"store link silent", scopeBoxStore, withStoreProxy(faultproxy.Blackhole)},
	{"store link one way", scopeBoxStore, withStoreProxy(faultproxy.DropResponses)},
	{"store link resets", scopeBoxStore, withStoreProxy(faultproxy.ResetOnData)},
	{"target slow link", scopeTarget, withTargetProxy(faultproxy.SlowLink)},
	{"target silent", scopeTarget, withTargetProxy(faultproxy.Blackhole)},
	{"target one way", scopeTarget, withTargetProxy(faultproxy.DropResponses)},
	{"target resets", scopeTarget, withTargetProxy(faultproxy.ResetOnData)},
	{"target's answers are reset", scopeTarget, withTargetProxy(faultproxy.ResetOnResponse)},
	{"target's answers are reset", scopeTarget, withTargetProxy(faultproxy.ResetOnResponse)},
	{"target refuses", scopeTarget, withTargetProxy(faultproxy.RefuseConnections)},
	{"target fails", scopeTarget, withBehaviour(func(h *standin.Behaviour) { h.Fail = true }, func(h *standin.Behaviour) { h.Fail = false })},
	{"target full", scopeTarget, withBehaviour(func(h *standin.Behaviour) { h.RejectAll = true }, func(h *standin.Behaviour) { h.RejectAll = false })},
	{"target breaks off", scopeTarget, withBehaviour(func(h *standin.Behaviour) { h.BreakAtEvent = 4 }, func(h *standin.Behaviour) { h.BreakAtEvent = 0 })},
	{"target leaves", scopeNone, drainTarget},
	{"target leaves", scopeNone, drainTarget},
	{"target crashes", scopeTarget, crashTarget},
	// An error is ignored here: no box has the version then, which the checks report.
	{"configuration", scopeNone, func(e *environment, _ *rand.Rand, _ *box, _ func()) { _ = e.writeNextConfiguration() }},
	{"configuration", scopeNone, func(e *environment, _ *rand.Rand, _ *box, _ func()) { _ = e.writeNextConfiguration() }},
}

func signalBox(s syscall.Signal) func(*environment, *rand.Rand, *box, func()) {
	return func(_ *environment, _ *rand.Rand, b *box, wait func()) {
		b.signal(s)
		wait()
	}
}

func pauseBox(_ *environment, _ *rand.Rand, b *box, wait func()) {
	b.signal(syscall.SIGSTOP)
	wait()
	b.signal(syscall.SIGCONT)
}

// stopBox makes a planned stop of the box. As on the platform, a process that does not exit in time
// is killed, which is recorded.
func stopBox(e *environment, _ *rand.Rand, b *box, _ func()) {
	b.mu.Lock()
	exited, starts := b.exited, b.starts
	b.mu.Unlock()
	began := time.Now()
	b.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopBound):
		if b.startCount() == starts {
			e.recorder.addOverdueStop(b.name, began, time.Now())
			b.signal(syscall.SIGKILL)
		}
	}
	e.recorder.addStop(b.name, began, time.Now())
}

func storeFailure(t standin.FailureMode, delay time.Duration) func(*environment, *rand.Rand, *box, func()) {
	return func(e *environment, _ *rand.Rand, _ *box, wait func()) {
		e.store.SetFailureMode(t, delay)
		wait()
		e.store.SetFailureMode(standin.Healthy, 0)
	}
}

func withStoreProxy(mode faultproxy.Mode) func(*environment, *rand.Rand, *box, func()) {
	return func(_ *environment, _ *rand.Rand, b *box, wait func()) {
		p := b.storeProxy
		p.SetMode(mode)
		wait()
		p.SetMode(faultproxy.PassThrough)
	}
}

func withTargetProxy(mode faultproxy.Mode) func(*environment, *rand.Rand, *box, func()) {
	return func(e *environment, r *rand.Rand, _ *box, wait func()) {
		_, in := e.pickHost(r)
		p := in.proxy
		p.SetMode(mode)
		wait()
		p.SetMode(faultproxy.PassThrough)
	}
}

func withBehaviour(apply, revert func(*standin.Behaviour)) func(*environment, *rand.Rand, *box, func()) {
	return func(e *environment, r *rand.Rand, _ *box, wait func()) {
		_, in := e.pickHost(r)
		t := in.target
		t.ChangeBehaviour(apply)
		wait()
		t.ChangeBehaviour(revert)
	}
}

// pickHost draws a host, and returns it with its current incarnation.
func (e *environment) pickHost(r *rand.Rand) (*host, incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.hosts[r.IntN(len(e.hosts))]
	return h, h.current
}

// pickIdleHost draws a host and locks its lifecycle. It returns nil if the target of the host that was
// drawn is leaving or down. The caller unlocks the lifecycle.
func (e *environment) pickIdleHost(r *rand.Rand) (*host, incarnation) {
	h, _ := e.pickHost(r)
	if !h.lifecycle.TryLock() {
		return nil, incarnation{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return h, h.current
}

// serveAfterLeaving is the time for which a target goes on serving after it reported that it is
// leaving: long enough to record requests that arrive after the bound.
const serveAfterLeaving = drainBound + timingSlack + 3*time.Second

// drainTarget sets a target's entry to draining, and replaces the target later.
func drainTarget(e *environment, r *rand.Rand, _ *box, _ func()) {
	h, in := e.pickIdleHost(r)
	if h == nil {
		return
	}
	defer h.lifecycle.Unlock()
	if e.writeEntry(h, in, "draining") != nil {
		return
	}
	e.recorder.markDraining(in.id)
	time.Sleep(serveAfterLeaving)
	_ = e.replaceTarget(h, in) // if this fails, the run goes on with one target fewer
}

// crashTarget takes a target down without notice. Its entry stays in the store until it is replaced.
func crashTarget(e *environment, r *rand.Rand, _ *box, wait func()) {
	h, in := e.pickIdleHost(r)
	if h == nil {
		return
	}
	defer h.lifecycle.Unlock()
	in.proxy.SetMode(faultproxy.RefuseConnections)
	in.proxy.ResetAll()
	wait()
	_ = e.replaceTarget(h, in) // if this fails, the run goes on with one target fewer
}
