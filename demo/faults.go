package demo

import (
	"context"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// fault is how a kind begins and ends.
type fault struct {
	text  string
	begin func(*local.System, int)
	end   func(*local.System, int)
}

// slowPace is how many times longer the work of a slow rank takes.
const slowPace = 6

var faults = map[string]fault{
	"box dies": {"an entry box dies and starts again",
		func(s *local.System, i int) { box(s, i).Kill() },
		func(s *local.System, i int) { _ = box(s, i).Start() }}, // it fails only where its address is taken
	"box stops": {"an entry box is stopped as planned and started again",
		func(s *local.System, i int) { box(s, i).Stop() },
		func(s *local.System, i int) { _ = box(s, i).Start() }},
	"halls cut": {"two data halls lose sight of each other",
		func(s *local.System, i int) { link(s, i, local.Silent) },
		func(s *local.System, i int) { link(s, i, local.Open) }},
	"rank slow": {"a rank becomes slow",
		func(s *local.System, i int) { s.Group().Slow(i%len(s.Agents()), slowPace) },
		func(s *local.System, i int) { s.Group().Slow(i%len(s.Agents()), 1) }},
	"agent dies": {"the agent that coordinates the group dies",
		func(s *local.System, _ int) { s.Agents()[0].Kill() },
		func(s *local.System, _ int) { _ = s.Agents()[0].Start() }},
	"store away": {"the platform's store answers nothing",
		func(s *local.System, _ int) { s.Store.SetTrouble(standin.Silent, 0) },
		func(s *local.System, _ int) { s.Store.SetTrouble(standin.Sound, 0) }},
	"target fails": {"a target fails what it is asked",
		func(s *local.System, i int) { failing(s, i, true) },
		func(s *local.System, i int) { failing(s, i, false) }},
}

func box(s *local.System, i int) *local.EntryBox { return s.Entries()[i%len(s.Entries())] }

func link(s *local.System, i int, l local.Link) {
	h := s.Halls()
	s.Network.SetLink(h[i%len(h)], h[(i+1)%len(h)], l)
}

func failing(s *local.System, i int, fails bool) {
	s.Targets()[i%len(s.Targets())].Target().Behave(func(h *standin.Habits) { h.Fail = fails })
}

// happen lets a fault begin and end at its times.
func (f Fault) happen(ctx context.Context, s *local.System, began time.Time, tell func(string)) {
	kind := faults[f.Kind]
	if !waitUntil(ctx, began.Add(f.At.Duration())) {
		return
	}
	tell("fault: " + kind.text)
	kind.begin(s, f.Index)
	waitUntil(ctx, began.Add((f.At + f.For).Duration()))
	kind.end(s, f.Index)
	tell("mended: " + kind.text)
}

func waitUntil(ctx context.Context, t time.Time) bool {
	wait := time.NewTimer(time.Until(t))
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
		return true
	}
}
