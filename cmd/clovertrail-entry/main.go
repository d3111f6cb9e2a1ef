// Command clovertrail-entry runs an entry box.
package main

import (
	"context"
	"net/http"
	"os"

	"google.golang.org/grpc"

	"clovertrail.dev/cmd/internal/daemon"
	"clovertrail.dev/entry"
	"clovertrail.dev/operator"
	"clovertrail.dev/store/remote"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/wire"
)

func main() {
	daemon.Main(daemon.Command("clovertrail-entry", "take callers' requests and operators' calls", daemon.Checks(entry.Defaults()), run))
}

func run(ctx context.Context, file string) error {
	s, err := daemon.Load(file, entry.Defaults())
	if err != nil {
		return err
	}
	common := telemetry.New(os.Stderr, s.Box)
	store := remote.NewClient(s.Platform, http.DefaultClient)
	e := entry.New(common, s, store, wire.TCP, daemon.Incarnation())
	operators, err := operator.NewHandler(common, e, s.OperatorTokenSHA256)
	if err != nil {
		return err
	}
	p := daemon.NewProcess()
	if err := p.HTTP(s.Callers, e); err != nil {
		return err
	}
	if err := p.HTTP(s.Operators, entry.AdminHandler(common, e, operators)); err != nil {
		return err
	}
	if err := p.GRPC(s.Peers, func(g *grpc.Server) { e.Register(g) }); err != nil {
		return err
	}
	common.Log.Info("started", "callers", s.Callers, "operators", s.Operators, "peers", s.Peers)
	return p.Run(ctx, s.StopWithin.Std(), e.Run, e.Stop)
}
