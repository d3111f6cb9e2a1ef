package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/platform"
	"clovertrail.dev/store"
)

// statusTimeout limits the duration of all calls to the store together; the store answers in
// milliseconds.
const statusTimeout = 5 * time.Second

func (a *app) statusCommand() *ucli.Command {
	return &ucli.Command{
		Name: "status", Usage: "show the configuration, the data halls, and the targets that are not ready, in the platform's store",
		Flags: []ucli.Flag{
			storeFlag(),
			&ucli.BoolFlag{Name: "all", Usage: "show all targets"},
			boxFlag(),
		},
		Action: a.status,
	}
}

// statusQueries are the kinds of record that status reads.
var statusQueries = []struct {
	kind store.Kind
	name string
}{
	{platform.Configurations, "configurations"},
	{platform.Targets, "targets"},
	{platform.Evacuations, "evacuations"},
}

// storeFlag returns the flag with the address of the store.
func storeFlag() ucli.Flag {
	return &ucli.StringFlag{Name: "store", Required: true, Usage: "`HOST:PORT` of the store", Sources: ucli.EnvVars("CLOVERTRAIL_STORE")}
}

// status shows the store's records and, with boxes given, their overload, also if the store does not answer.
func (a *app) status(ctx context.Context, c *ucli.Command) error {
	boxes := c.StringSlice("box")
	if err := checkBoxes(boxes); err != nil {
		return err
	}
	return errors.Join(a.storeStatus(ctx, c), a.boxStatus(ctx, boxes))
}

// storeStatus shows the configuration, the data halls and the targets in the store.
func (a *app) storeStatus(ctx context.Context, c *ucli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	platformStore := platform.NewStore(c.String("store"), http.DefaultClient, nil)
	lists := map[store.Kind][]store.Record{}
	for _, q := range statusQueries {
		l, err := platformStore.List(ctx, q.kind)
		if err != nil {
			return fmt.Errorf("list %s of the store: %w", q.name, err)
		}
		lists[q.kind] = l.Records
	}
	if err := a.printConfiguration(lists[platform.Configurations]); err != nil {
		return err
	}
	targets := decodeStatus(lists[platform.Targets])
	if err := a.print(hallTable(targets, lists[platform.Evacuations])); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(a.out)
	return a.print(targetTable(targets, c.Bool("all")))
}

func (a *app) printConfiguration(records []store.Record) error {
	for _, r := range records {
		if r.Name != platform.ConfigurationName {
			continue
		}
		d, err := platform.DecodeConfiguration(r.Spec)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(a.out, "configuration %d, revision %d\n\n", d.Version(), r.At.Revision())
	}
	return nil
}

// listedTarget is an entry of the list of targets; err is set if it names no target.
type listedTarget struct {
	name   string
	target domain.Target
	err    error
}

func decodeStatus(records []store.Record) []listedTarget {
	list := make([]listedTarget, 0, len(records))
	for _, r := range records {
		t, err := platform.DecodeTarget(time.Now(), r)
		list = append(list, listedTarget{name: r.Name, target: t, err: err})
	}
	return list
}

// inOrder reports whether nothing keeps the target from new work.
func (l listedTarget) inOrder() bool {
	rank, ranked := l.target.Rank()
	return l.err == nil && l.target.State() == domain.TargetReady && (!ranked || rank.Open)
}

// hallTable has a row for each data hall that has targets or is being evacuated.
func hallTable(targets []listedTarget, evacuations []store.Record) table {
	type hall struct {
		evacuated         bool
		targets, notReady int
	}
	halls := map[domain.HallName]*hall{}
	of := func(name domain.HallName) *hall {
		if halls[name] == nil {
			halls[name] = &hall{}
		}
		return halls[name]
	}
	for _, l := range targets {
		if l.err != nil {
			continue
		}
		h := of(l.target.Hall())
		h.targets++
		if !l.inOrder() {
			h.notReady++
		}
	}
	for _, r := range evacuations {
		of(domain.HallName(r.Name)).evacuated = true
	}
	t := table{header: []string{"HALL", "WORK", "TARGETS", "NOT READY"}}
	for _, name := range slices.Sorted(maps.Keys(halls)) {
		h := halls[name]
		work := "accepted"
		if h.evacuated {
			work = "evacuated"
		}
		t.rows = append(t.rows, []string{string(name), work, strconv.Itoa(h.targets), strconv.Itoa(h.notReady)})
	}
	return t
}

// targetTable has a row for each target that is not ready or cannot be decoded, or for all targets.
func targetTable(targets []listedTarget, all bool) table {
	t := table{header: []string{"TARGET", "SERVICE", "HALL", "STATE", "ADDRESS", "GROUP", "RANK"}}
	for _, l := range targets {
		switch {
		case l.err != nil:
			t.rows = append(t.rows, []string{l.name, "-", "-", "unusable: " + l.err.Error(), "-", "-", "-"})
		case all || !l.inOrder():
			t.rows = append(t.rows, targetRow(l.target))
		}
	}
	return t
}

func targetRow(t domain.Target) []string {
	group, rank, state := "-", "-", t.State().String()
	if !t.ColdUntil().IsZero() {
		state += ", cold"
	}
	if g, ok := t.Rank(); ok {
		group, rank = string(g.Group), fmt.Sprintf("%d of %d", g.Number, g.Size)
		if !g.Open {
			state += ", group not open"
		}
	}
	return []string{string(t.ID()), string(t.Service()), cmp.Or(string(t.Hall()), "-"), state, t.Address(), group, rank}
}
