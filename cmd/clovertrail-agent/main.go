// Command clovertrail-agent runs in the slot on a target box.
package main

import (
	"context"
	"net/http"
	"os"

	"google.golang.org/grpc"

	"clovertrail.dev/agent"
	"clovertrail.dev/cmd/internal/daemon"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/wire"
)

func main() {
	daemon.Main(daemon.Command("clovertrail-agent", "admit, run and remember requests beside a target", daemon.Checks(agent.Defaults()), run))
}

func run(ctx context.Context, file string) error {
	s, err := daemon.Load(file, agent.Defaults())
	if err != nil {
		return err
	}
	common := telemetry.New(os.Stderr, s.Box)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: s.Slots, DisableCompression: true}}
	a := agent.New(common, s, client, wire.TCP, daemon.Incarnation())
	p := daemon.NewProcess()
	if err := p.GRPC(s.Listen, func(g *grpc.Server) { a.Register(g) }); err != nil {
		return err
	}
	if err := p.HTTP(s.Admin, agent.AdminHandler(common, a)); err != nil {
		return err
	}
	common.Log.Info("started", "listen", s.Listen, "target", s.Target)
	return p.Run(ctx, s.StopWithin.Std(), a.Run, a.Stop)
}
