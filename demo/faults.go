package demo

import (
	"context"
	"io"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/store/standin"
)

// fault is something that goes wrong and is mended again.
type fault struct {
	text  string
	begin func(*local.System)
	end   func(*local.System)
}

var faults = map[string]fault{
	"kill": {"an agent dies and is replaced",
		func(s *local.System) { s.Targets()[0].Kill() },
		func(s *local.System) { _ = s.Targets()[0].Start() }},
	"cut": {"two data halls lose sight of each other",
		func(s *local.System) { s.Network.SetLink(s.Halls()[0], s.Halls()[1], local.Refused) },
		func(s *local.System) { s.Network.SetLink(s.Halls()[0], s.Halls()[1], local.Open) }},
	"outage": {"the platform is down",
		func(s *local.System) { s.Platform.SetFaults(standin.Faults{Down: true}) },
		func(s *local.System) { s.Platform.SetFaults(standin.Faults{}) }},
	"drain": {"a target leaves as planned",
		func(s *local.System) { s.Targets()[1].Leave() },
		func(s *local.System) {
			s.Targets()[1].Kill()
			_ = s.Targets()[1].Start()
		}},
}

// injectFaults spreads the faults over the run, each for a tenth of it.
func injectFaults(ctx context.Context, out io.Writer, sys *local.System, names []string, length time.Duration) {
	const tenths = 10
	gap := length * 8 / tenths / time.Duration(max(len(names), 1))
	for _, name := range names {
		f, ok := faults[name]
		if !ok {
			printf(out, "no such fault: %s\n", name)
			continue
		}
		if !wait(ctx, gap/2) {
			return
		}
		printf(out, "fault: %s\n", f.text)
		f.begin(sys)
		wait(ctx, gap/2)
		f.end(sys)
		printf(out, "mended: %s\n", f.text)
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
