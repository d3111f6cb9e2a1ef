// Command clovertrail-standin serves stand-ins for what surrounds clovertrail, so
// that its programs can be tried as separate processes: the platform's object
// service with a list of boxes, or a fake model engine. It keeps nothing.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"clovertrail.dev/cmd/internal/daemon"
	"clovertrail.dev/core/domain"
	engine "clovertrail.dev/engine/standin"
	"clovertrail.dev/store/remote"
	storestandin "clovertrail.dev/store/standin"
)

const stopWithin = 5 * time.Second

func main() {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDRESS`, host:port", Required: true}
	daemon.Main(&cli.Command{
		Name: "clovertrail-standin", Usage: "stand-ins for the platform and the engines", Version: daemon.Version,
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "the object service and the list of boxes",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "boxes", Usage: "`FILE` with the list of boxes (JSON with comments)"},
					&cli.FloatFlag{Name: "writes", Value: 100, Usage: "writes a second"},
					&cli.FloatFlag{Name: "reads", Value: 2000, Usage: "reads a second"},
				},
				Action: servePlatform,
			},
			{
				Name: "engine", Usage: "a fake model engine that streams its request back",
				Flags: []cli.Flag{
					listen,
					&cli.IntFlag{Name: "tokens", Value: 20, Usage: "tokens in an answer"},
					&cli.DurationFlag{Name: "first", Value: 20 * time.Millisecond, Usage: "time to the first token"},
					&cli.DurationFlag{Name: "gap", Value: 20 * time.Millisecond, Usage: "time between tokens"},
				},
				Action: serveEngine,
			},
		},
	})
}

func servePlatform(ctx context.Context, c *cli.Command) error {
	objects := storestandin.New(storestandin.Limits{WritesPerSecond: c.Float("writes"), ReadsPerSecond: c.Float("reads")})
	if file := c.String("boxes"); file != "" {
		if err := loadBoxes(file, objects); err != nil {
			return err
		}
	}
	return serve(ctx, c.String("listen"), remote.Handler(objects))
}

func loadBoxes(file string, objects *storestandin.Store) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	if raw, err = hujson.Standardize(raw); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	var boxes []domain.Box
	if err := json.Unmarshal(raw, &boxes); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	for _, b := range boxes {
		objects.SetBox(b)
	}
	return nil
}

func serveEngine(ctx context.Context, c *cli.Command) error {
	e := engine.NewEngine(engine.EngineSettings{Tokens: c.Int("tokens"), First: c.Duration("first"), Gap: c.Duration("gap")})
	return serve(ctx, c.String("listen"), e)
}

func serve(ctx context.Context, address string, h http.Handler) error {
	p := daemon.NewProcess()
	if err := p.HTTP(address, h); err != nil {
		return err
	}
	idle := func(context.Context) {}
	stop := func(context.Context) error { return nil }
	return p.Run(ctx, stopWithin, idle, stop)
}
