package demo

import (
	"context"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// faultKind starts and ends faults of one kind. The index chooses the box, rank or halls.
type faultKind struct {
	description string
	start       func(*local.System, int)
	end         func(*local.System, int)
}

// slowRankFactor is the factor by which the work of a slow rank takes longer.
const slowRankFactor = 6

// faultKinds has the kinds of faults by their names in workload files.
var faultKinds = map[string]faultKind{
	"box dies": {"an entry box is down after a crash",
		func(s *local.System, i int) { entryBox(s, i).Kill() },
		func(s *local.System, i int) { _ = entryBox(s, i).Start() }}, // fails only if its address is in use
	"box stops": {"an entry box is down for a planned stop",
		func(s *local.System, i int) { entryBox(s, i).Stop() },
		func(s *local.System, i int) { _ = entryBox(s, i).Start() }},
	"halls cut": {"two data halls cannot reach each other",
		func(s *local.System, i int) { setLink(s, i, local.Silent) },
		func(s *local.System, i int) { setLink(s, i, local.Open) }},
	"rank slow": {"a rank is slow",
		func(s *local.System, i int) { s.Group().SetSlowdown(i%len(s.Agents()), slowRankFactor) },
		func(s *local.System, i int) { s.Group().SetSlowdown(i%len(s.Agents()), 1) }},
	"agent dies": {"the agent that coordinates the group is down after a crash",
		func(s *local.System, _ int) { s.Agents()[0].Kill() },
		func(s *local.System, _ int) { _ = s.Agents()[0].Start() }},
	"store away": {"the platform's store is unresponsive",
		func(s *local.System, _ int) { s.Store.SetFailureMode(standin.Unresponsive, 0) },
		func(s *local.System, _ int) { s.Store.SetFailureMode(standin.Healthy, 0) }},
	"target fails": {"a target fails all requests",
		func(s *local.System, i int) { setFailing(s, i, true) },
		func(s *local.System, i int) { setFailing(s, i, false) }},
}

func entryBox(s *local.System, i int) *local.EntryBox { return s.Entries()[i%len(s.Entries())] }

func setLink(s *local.System, i int, l local.Link) {
	h := s.Halls()
	s.Network.SetLink(h[i%len(h)], h[(i+1)%len(h)], l)
}

func setFailing(s *local.System, i int, fails bool) {
	s.Targets()[i%len(s.Targets())].Target().ChangeBehaviour(func(h *standin.Behaviour) { h.Fail = fails })
}

// run starts and ends the fault at its times after start, and reports both.
func (f Fault) run(ctx context.Context, s *local.System, start time.Time, report func(string)) {
	kind := faultKinds[f.Kind]
	if !waitUntil(ctx, start.Add(f.At.Duration())) {
		return
	}
	report("fault started: " + kind.description)
	kind.start(s, f.Index)
	waitUntil(ctx, start.Add((f.At + f.For).Duration()))
	kind.end(s, f.Index)
	report("fault ended: " + kind.description)
}

// waitUntil reports whether the time came before ctx ended.
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
