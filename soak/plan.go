package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
)

// subject is what a trouble strikes, and so which promises it excuses.
type subject int

const (
	nothing  subject = iota
	boxes            // the box that was drawn
	ownStore         // the store, for that box
	store            // the store, for all
	target
)

// act is something that happens to the world, for a while.
type act struct {
	name string
	// hits is what it is trouble for; planned work is trouble for nothing.
	hits subject
	// during makes it, waits until done is closed or its time has passed, and mends it.
	during func(w *world, r *rand.Rand, _ *box, wait func())
}

// acts are all that may happen. Those more often met on real platforms stand twice.
var acts = []act{
	{"kill", boxes, onBox(syscall.SIGKILL)},
	{"kill", boxes, onBox(syscall.SIGKILL)},
	{"pause", boxes, pauseBox},
	{"stop", nothing, stopBox},
	{"stop", nothing, stopBox},
	{"read settings again", nothing, onBox(syscall.SIGHUP)},
	{"store busy", store, storeTrouble(standin.Unavailable, 0)},
	{"store silent", store, storeTrouble(standin.Unresponsive, 0)},
	{"store slow", store, storeTrouble(standin.Healthy, 200*time.Millisecond)},
	{"store forgets", store, func(w *world, _ *rand.Rand, _ *box, wait func()) { w.store.Compact(); wait() }},
	{"store link silent", ownStore, storeLink(silent)},
	{"store link one way", ownStore, storeLink(oneWay)},
	{"store link resets", ownStore, storeLink(resets)},
	{"target slow link", target, targetLink(slow)},
	{"target silent", target, targetLink(silent)},
	{"target one way", target, targetLink(oneWay)},
	{"target resets", target, targetLink(resets)},
	{"target's answers are reset", target, targetLink(lostAnswers)},
	{"target's answers are reset", target, targetLink(lostAnswers)},
	{"target refuses", target, targetLink(refuses)},
	{"target fails", target, habit(func(h *standin.Behaviour) { h.Fail = true }, func(h *standin.Behaviour) { h.Fail = false })},
	{"target full", target, habit(func(h *standin.Behaviour) { h.RejectAll = true }, func(h *standin.Behaviour) { h.RejectAll = false })},
	{"target breaks off", target, habit(func(h *standin.Behaviour) { h.BreakAtEvent = 4 }, func(h *standin.Behaviour) { h.BreakAtEvent = 0 })},
	{"target leaves", nothing, leave},
	{"target leaves", nothing, leave},
	{"target crashes", target, crash},
	{"configuration", nothing, func(w *world, _ *rand.Rand, _ *box, _ func()) { _ = w.configure() }}, // an error would show as a version that nobody has
	{"configuration", nothing, func(w *world, _ *rand.Rand, _ *box, _ func()) { _ = w.configure() }}, // an error would show as a version that nobody has
}

func onBox(s syscall.Signal) func(*world, *rand.Rand, *box, func()) {
	return func(_ *world, _ *rand.Rand, b *box, wait func()) {
		b.signal(s)
		wait()
	}
}

func pauseBox(_ *world, _ *rand.Rand, b *box, wait func()) {
	b.signal(syscall.SIGSTOP)
	wait()
	b.signal(syscall.SIGCONT)
}

// stopBox is a planned stop; the platform kills what does not end in time.
func stopBox(w *world, _ *rand.Rand, b *box, _ func()) {
	b.mu.Lock()
	ended, life := b.ended, b.life
	b.mu.Unlock()
	began := time.Now()
	b.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceful):
		if b.lives() == life {
			b.signal(syscall.SIGKILL)
		}
	}
	w.ledger.stop(b.name, began, time.Now())
}

func storeTrouble(t standin.FailureMode, delay time.Duration) func(*world, *rand.Rand, *box, func()) {
	return func(w *world, _ *rand.Rand, _ *box, wait func()) {
		w.store.SetFailureMode(t, delay)
		wait()
		w.store.SetFailureMode(standin.Healthy, 0)
	}
}

func storeLink(to weather) func(*world, *rand.Rand, *box, func()) {
	return func(_ *world, _ *rand.Rand, b *box, wait func()) {
		k := b.store
		k.set(to)
		wait()
		k.set(fair)
	}
}

func targetLink(to weather) func(*world, *rand.Rand, *box, func()) {
	return func(w *world, r *rand.Rand, _ *box, wait func()) {
		_, in := w.host(r)
		k := in.link
		k.set(to)
		wait()
		k.set(fair)
	}
}

func habit(begin, end func(*standin.Behaviour)) func(*world, *rand.Rand, *box, func()) {
	return func(w *world, r *rand.Rand, _ *box, wait func()) {
		_, in := w.host(r)
		t := in.target
		t.ChangeBehaviour(begin)
		wait()
		t.ChangeBehaviour(end)
	}
}

// host draws a host, and gives its present incarnation.
func (w *world) host(r *rand.Rand) (*host, incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[r.IntN(len(w.hosts))]
	return h, h.now
}

// alone draws a host whose target neither leaves nor is down; nil if the one that was
// drawn does. The caller unlocks it.
func (w *world) alone(r *rand.Rand) (*host, incarnation) {
	h, _ := w.host(r)
	if !h.busy.TryLock() {
		return nil, incarnation{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return h, h.now
}

// servesOn is how long a target serves on after it reported that it is leaving: long
// enough that work which comes too late is seen.
const servesOn = drainBound + slack + 3*time.Second

// leave drains a target and puts another in its place.
func leave(w *world, r *rand.Rand, _ *box, _ func()) {
	h, in := w.alone(r)
	if h == nil {
		return
	}
	defer h.busy.Unlock()
	if w.list(h, in, "draining") != nil {
		return
	}
	w.ledger.leaves(in.id)
	time.Sleep(servesOn)
	_ = w.replace(h, in) // without it there is one target fewer
}

// crash takes a target down without a word; its entry lags.
func crash(w *world, r *rand.Rand, _ *box, wait func()) {
	h, in := w.alone(r)
	if h == nil {
		return
	}
	defer h.busy.Unlock()
	in.link.set(refuses)
	in.link.drop()
	wait()
	_ = w.replace(h, in) // without it there is one target fewer
}
