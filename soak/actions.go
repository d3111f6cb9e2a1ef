package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
)

// subject is what a trouble strikes, and so which promises it excuses.
type faultScope int

const (
	scopeNone     faultScope = iota
	scopeBox                 // the box that was drawn
	scopeBoxStore            // the store, for that box
	scopeStore               // the store, for all
	scopeTarget
)

// act is something that happens to the world, for a while.
type action struct {
	name string
	// hits is what it is trouble for; planned work is trouble for nothing.
	affects faultScope
	// during makes it, waits until done is closed or its time has passed, and mends it.
	run func(e *environment, r *rand.Rand, _ *box, wait func())
}

// acts are all that may happen. Those more often met on real platforms stand twice.
var actions = []action{
	{"kill", scopeBox, signalBox(syscall.SIGKILL)},
	{"kill", scopeBox, signalBox(syscall.SIGKILL)},
	{"pause", scopeBox, pauseBox},
	{"stop", scopeNone, stopBox},
	{"stop", scopeNone, stopBox},
	{"read settings again", scopeNone, signalBox(syscall.SIGHUP)},
	{"store busy", scopeStore, storeTrouble(standin.Busy, 0)},
	{"store silent", scopeStore, storeTrouble(standin.Silent, 0)},
	{"store slow", scopeStore, storeTrouble(standin.Sound, 200*time.Millisecond)},
	{"store forgets", scopeStore, func(e *environment, _ *rand.Rand, _ *box, wait func()) { e.store.Compact(); wait() }},
	{"store link silent", scopeBoxStore, withStoreProxy(blackhole)},
	{"store link one way", scopeBoxStore, withStoreProxy(dropResponses)},
	{"store link resets", scopeBoxStore, withStoreProxy(resetOnData)},
	{"target slow link", scopeTarget, withTargetProxy(slowLink)},
	{"target silent", scopeTarget, withTargetProxy(blackhole)},
	{"target one way", scopeTarget, withTargetProxy(dropResponses)},
	{"target resets", scopeTarget, withTargetProxy(resetOnData)},
	{"target's answers are reset", scopeTarget, withTargetProxy(resetOnResponse)},
	{"target's answers are reset", scopeTarget, withTargetProxy(resetOnResponse)},
	{"target refuses", scopeTarget, withTargetProxy(refuseConnections)},
	{"target fails", scopeTarget, withHabits(func(h *standin.Habits) { h.Fail = true }, func(h *standin.Habits) { h.Fail = false })},
	{"target full", scopeTarget, withHabits(func(h *standin.Habits) { h.Full = true }, func(h *standin.Habits) { h.Full = false })},
	{"target breaks off", scopeTarget, withHabits(func(h *standin.Habits) { h.BreakAt = 4 }, func(h *standin.Habits) { h.BreakAt = 0 })},
	{"target leaves", scopeNone, drainTarget},
	{"target leaves", scopeNone, drainTarget},
	{"target crashes", scopeTarget, crashTarget},
	{"configuration", scopeNone, func(e *environment, _ *rand.Rand, _ *box, _ func()) { _ = e.writeNextConfiguration() }}, // an error would show as a version that nobody has
	{"configuration", scopeNone, func(e *environment, _ *rand.Rand, _ *box, _ func()) { _ = e.writeNextConfiguration() }}, // an error would show as a version that nobody has
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

// stopBox is a planned stop; the platform kills what does not end in time.
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
			b.signal(syscall.SIGKILL)
		}
	}
	e.recorder.addStop(b.name, began, time.Now())
}

func storeTrouble(t standin.Trouble, delay time.Duration) func(*environment, *rand.Rand, *box, func()) {
	return func(e *environment, _ *rand.Rand, _ *box, wait func()) {
		e.store.SetTrouble(t, delay)
		wait()
		e.store.SetTrouble(standin.Sound, 0)
	}
}

func withStoreProxy(mode proxyMode) func(*environment, *rand.Rand, *box, func()) {
	return func(_ *environment, _ *rand.Rand, b *box, wait func()) {
		p := b.storeProxy
		p.setMode(mode)
		wait()
		p.setMode(passThrough)
	}
}

func withTargetProxy(mode proxyMode) func(*environment, *rand.Rand, *box, func()) {
	return func(e *environment, r *rand.Rand, _ *box, wait func()) {
		_, in := e.pickHost(r)
		p := in.proxy
		p.setMode(mode)
		wait()
		p.setMode(passThrough)
	}
}

func withHabits(begin, end func(*standin.Habits)) func(*environment, *rand.Rand, *box, func()) {
	return func(e *environment, r *rand.Rand, _ *box, wait func()) {
		_, in := e.pickHost(r)
		t := in.target
		t.Behave(begin)
		wait()
		t.Behave(end)
	}
}

// host draws a host, and gives its present incarnation.
func (e *environment) pickHost(r *rand.Rand) (*host, incarnation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.hosts[r.IntN(len(e.hosts))]
	return h, h.current
}

// alone draws a host whose target neither leaves nor is down; nil if the one that was
// drawn does. The caller unlocks it.
func (e *environment) pickIdleHost(r *rand.Rand) (*host, incarnation) {
	h, _ := e.pickHost(r)
	if !h.lifecycle.TryLock() {
		return nil, incarnation{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return h, h.current
}

// servesOn is how long a target serves on after it reported that it is leaving: long
// enough that work which comes too late is seen.
const serveAfterLeaving = drainBound + timingSlack + 3*time.Second

// leave drains a target and puts another in its place.
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
	_ = e.replaceTarget(h, in) // without it there is one target fewer
}

// crash takes a target down without a word; its entry lags.
func crashTarget(e *environment, r *rand.Rand, _ *box, wait func()) {
	h, in := e.pickIdleHost(r)
	if h == nil {
		return
	}
	defer h.lifecycle.Unlock()
	in.proxy.setMode(refuseConnections)
	in.proxy.resetAll()
	wait()
	_ = e.replaceTarget(h, in) // without it there is one target fewer
}
