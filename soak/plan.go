package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
)

// act is something that happens to the world, for a while.
type act struct {
	name string
	// fault tells that it is trouble, which excuses; else it is planned work.
	fault bool
	// during makes it, waits until done is closed or its time has passed, and mends it.
	during func(w *world, r *rand.Rand, wait func())
}

// acts are all that may happen. Those more often met on real platforms stand twice.
var acts = []act{
	{"kill", true, onBox(syscall.SIGKILL)},
	{"kill", true, onBox(syscall.SIGKILL)},
	{"pause", true, pauseBox},
	{"stop", false, stopBox},
	{"stop", false, stopBox},
	{"read settings again", false, onBox(syscall.SIGHUP)},
	{"store busy", true, storeTrouble(standin.Busy, 0)},
	{"store silent", true, storeTrouble(standin.Silent, 0)},
	{"store slow", true, storeTrouble(standin.Sound, 200*time.Millisecond)},
	{"store forgets", true, func(w *world, _ *rand.Rand, wait func()) { w.store.Compact(); wait() }},
	{"store link silent", true, storeLink(silent)},
	{"store link one way", true, storeLink(oneWay)},
	{"store link resets", true, storeLink(resets)},
	{"target slow link", true, targetLink(slow)},
	{"target silent", true, targetLink(silent)},
	{"target one way", true, targetLink(oneWay)},
	{"target resets", true, targetLink(resets)},
	{"target refuses", true, targetLink(refuses)},
	{"target fails", true, habit(func(h *standin.Habits) { h.Fail = true }, func(h *standin.Habits) { h.Fail = false })},
	{"target full", true, habit(func(h *standin.Habits) { h.Full = true }, func(h *standin.Habits) { h.Full = false })},
	{"target breaks off", true, habit(func(h *standin.Habits) { h.BreakAt = 4 }, func(h *standin.Habits) { h.BreakAt = 0 })},
	{"target leaves", false, leave},
	{"target leaves", false, leave},
	{"target crashes", true, crash},
	{"configuration", false, func(w *world, _ *rand.Rand, _ func()) { _ = w.configure() }}, // an error would show as a version that nobody has
	{"configuration", false, func(w *world, _ *rand.Rand, _ func()) { _ = w.configure() }}, // an error would show as a version that nobody has
}

func onBox(s syscall.Signal) func(*world, *rand.Rand, func()) {
	return func(w *world, r *rand.Rand, wait func()) {
		w.boxes[r.IntN(len(w.boxes))].signal(s)
		wait()
	}
}

func pauseBox(w *world, r *rand.Rand, wait func()) {
	b := w.boxes[r.IntN(len(w.boxes))]
	b.signal(syscall.SIGSTOP)
	wait()
	b.signal(syscall.SIGCONT)
}

// stopBox is a planned stop; the platform kills what does not end in time.
func stopBox(w *world, r *rand.Rand, _ func()) {
	b := w.boxes[r.IntN(len(w.boxes))]
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

func storeTrouble(t standin.Trouble, delay time.Duration) func(*world, *rand.Rand, func()) {
	return func(w *world, _ *rand.Rand, wait func()) {
		w.store.SetTrouble(t, delay)
		wait()
		w.store.SetTrouble(standin.Sound, 0)
	}
}

func storeLink(to weather) func(*world, *rand.Rand, func()) {
	return func(w *world, r *rand.Rand, wait func()) {
		k := w.boxes[r.IntN(len(w.boxes))].store
		k.set(to)
		wait()
		k.set(fair)
	}
}

func targetLink(to weather) func(*world, *rand.Rand, func()) {
	return func(w *world, r *rand.Rand, wait func()) {
		_, in := w.host(r)
		k := in.link
		k.set(to)
		wait()
		k.set(fair)
	}
}

func habit(begin, end func(*standin.Habits)) func(*world, *rand.Rand, func()) {
	return func(w *world, r *rand.Rand, wait func()) {
		_, in := w.host(r)
		t := in.target
		t.Behave(begin)
		wait()
		t.Behave(end)
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

// servesOn is how long a target serves on after it said that it is leaving.
const servesOn = drainBound + time.Second

// leave drains a target and puts another in its place.
func leave(w *world, r *rand.Rand, _ func()) {
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
func crash(w *world, r *rand.Rand, wait func()) {
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
