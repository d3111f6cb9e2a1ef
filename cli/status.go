package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/platform"
	"clovertrail.dev/store"
)

// statusTimeout limits the duration of both calls to the store together; the store answers in
// milliseconds.
const statusTimeout = 5 * time.Second

func (a *app) statusCommand() *ucli.Command {
	return &ucli.Command{
		Name: "status", Usage: "show the configuration and the targets in the platform's store",
		Flags: []ucli.Flag{
			&ucli.StringFlag{Name: "store", Required: true, Usage: "`HOST:PORT` of the store", Sources: ucli.EnvVars("CLOVERTRAIL_STORE")},
		},
		Action: a.status,
	}
}

func (a *app) status(ctx context.Context, c *ucli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	platformStore := platform.NewStore(c.String("store"), http.DefaultClient, nil)
	configs, err := platformStore.List(ctx, platform.Configurations)
	if err != nil {
		return fmt.Errorf("list configurations of the store: %w", err)
	}
	targets, err := platformStore.List(ctx, platform.Targets)
	if err != nil {
		return fmt.Errorf("list targets of the store: %w", err)
	}
	for _, r := range configs.Records {
		if r.Name != platform.ConfigurationName {
			continue
		}
		d, err := platform.DecodeConfiguration(r.Spec)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(a.out, "configuration %d, revision %d\n\n", d.Version(), r.At.Revision())
	}
	t := table{header: []string{"TARGET", "SERVICE", "HALL", "STATE", "ADDRESS", "GROUP", "RANK"}}
	for _, r := range targets.Records {
		row, err := targetRow(r)
		if err != nil {
			return err
		}
		t.rows = append(t.rows, row)
	}
	return a.print(t)
}

// targetRow decodes the record of a target into a row of the status table.
func targetRow(r store.Record) ([]string, error) {
	t, err := platform.DecodeTarget(r)
	if err != nil {
		return nil, err
	}
	group, rank := "-", "-"
	if g, ok := t.Rank(); ok {
		group, rank = string(g.Group), fmt.Sprintf("%d of %d", g.Number, g.Size)
	}
	return []string{string(t.ID()), string(t.Service()), string(t.Hall()), fmt.Sprint(t.State()), t.Address(), group, rank}, nil
}
