package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// endlessDuration is the time for which targets send responses without end, and maxEndlessPause the longest pause between
	// two such times.
	endlessDuration, maxEndlessPause = 2 * time.Second, time.Second
)

// runEndlessResponses makes some targets, but not all, send responses without end, repeatedly. It ends with ctx, or when too
// little time is left before until.
func (e *environment) runEndlessResponses(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 12))
	time.Sleep(warmUp)
	for time.Now().Add(endlessDuration).Before(until) && ctx.Err() == nil {
		kind := standin.EndlessKinds[r.IntN(len(standin.EndlessKinds))]
		e.recorder.addFault(action{name: endlessFault + string(kind) + " without end", affects: scopeTarget}, "", time.Now(), time.Now().Add(endlessDuration+timingSlack))
		targets := e.pickIncarnations(r, 1+r.IntN(len(e.hosts)/2))
		for _, in := range targets {
			in.target.ChangeBehaviour(func(b *standin.Behaviour) { b.Endless = kind })
			e.recorder.addEndless(in.target)
		}
		time.Sleep(endlessDuration)
		for _, in := range targets {
			in.target.ChangeBehaviour(func(b *standin.Behaviour) { b.Endless = "" })
		}
		for _, b := range e.boxes {
			e.recorder.addPeakMemory(b.name, b.peakMemory())
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxEndlessPause))))
	}
}

// peakMemory returns the line of the kernel's status of the process that states its largest resident memory; empty if the
// process has exited.
func (b *box) peakMemory() string {
	b.mu.Lock()
	pid := b.cmd.Process.Pid
	b.mu.Unlock()
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) // empty if the process has exited
	for line := range strings.Lines(string(raw)) {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.TrimSpace(size)
		}
	}
	return ""
}

func (rec *recorder) addEndless(t *standin.Target) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.endless[t.ID()] = t
}

func (rec *recorder) addPeakMemory(box, size string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.peakMemory = append(rec.peakMemory, box+" "+size)
}

// checkEndless reports responses without end that were read on and on, but not those beside another fault of a target: some
// of the soak's proxies read what they drop.
func (rec *recorder) checkEndless(violate violationFunc) {
	responses, largest := 0, 0
	for id, t := range rec.endless {
		for _, x := range t.EndlessResponses() {
			if rec.hasOtherTargetFault(x.From, x.To) {
				continue
			}
			responses++
			largest = max(largest, x.Bytes)
			if x.Bytes >= standin.MaxEndlessBytes {
				violate("endless responses", "%d bytes of %s without end were read of %s", x.Bytes, x.Kind, id)
			}
		}
	}
	if responses > 0 {
		rec.endlessSummary = fmt.Sprintf("%d responses without end, %d bytes sent of one at most; largest resident memory of boxes: %s",
			responses, largest, strings.Join(rec.peakMemory, ", "))
	}
}

// endlessFault is the beginning of the names of the faults of runEndlessResponses.
const endlessFault = "targets send "

func (rec *recorder) hasOtherTargetFault(from, to time.Time) bool {
	return slices.ContainsFunc(rec.faults, func(s span) bool {
		return s.affects == scopeTarget && !strings.HasPrefix(s.name, endlessFault) && from.Before(s.to) && to.After(s.from)
	})
}
