package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/platform"
	"clovertrail.dev/store"
)

const (
	// evacuationTimeout bounds a command that begins or ends an evacuation.
	evacuationTimeout = 10 * time.Second
	// storeRetryInterval is the pause after a call that the store did not answer.
	storeRetryInterval = 500 * time.Millisecond
)

func (a *app) evacuateCommand() *ucli.Command {
	return &ucli.Command{
		Name: "evacuate", Usage: "send no new work to the targets of a data hall, until readmit", ArgsUsage: "HALL",
		Flags: []ucli.Flag{storeFlag()}, Action: a.evacuate,
	}
}

func (a *app) readmitCommand() *ucli.Command {
	return &ucli.Command{
		Name: "readmit", Usage: "end the evacuation of a data hall", ArgsUsage: "HALL",
		Flags: []ucli.Flag{storeFlag()}, Action: a.readmit,
	}
}

func (a *app) evacuate(ctx context.Context, c *ucli.Command) error {
	return a.changeEvacuation(ctx, c, evacuationChange{
		active:  true,
		write:   (*platform.Store).BeginEvacuation,
		holds:   "%s is already being evacuated",
		done:    "%s is being evacuated: its targets get no new work\n",
		allowed: func(hall domain.HallName, known []domain.HallName) bool { return slices.Contains(known, hall) },
	})
}

func (a *app) readmit(ctx context.Context, c *ucli.Command) error {
	return a.changeEvacuation(ctx, c, evacuationChange{
		write:   (*platform.Store).EndEvacuation,
		holds:   "%s is not being evacuated",
		done:    "the evacuation of %s has ended\n",
		allowed: func(domain.HallName, []domain.HallName) bool { return true }, // a hall may have lost its last target meanwhile
	})
}

// evacuationChange is one direction of the change of an evacuation.
type evacuationChange struct {
	active  bool // the state that the command brings about
	write   func(*platform.Store, context.Context, domain.HallName) error
	holds   string // error if the hall is in that state before the command
	done    string // output on success
	allowed func(hall domain.HallName, known []domain.HallName) bool
}

// changeEvacuation brings the evacuation of the hall into the state of the change. A call that the store
// did not answer may have been executed, or may be later, so the command reads the record to see
// whether the state holds, and writes again if not.
func (a *app) changeEvacuation(ctx context.Context, c *ucli.Command, change evacuationChange) error {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return usageError{fmt.Errorf("%s requires one argument: HALL", c.Name)}
	}
	hall := domain.HallName(c.Args().First())
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	s := platform.NewStore(c.String("store"), http.DefaultClient, nil)
	known, err := listedHalls(ctx, s)
	if err != nil {
		return err
	}
	if !change.allowed(hall, known) {
		return fault.New(fault.InvalidObject, "no target is listed in data hall %q; halls with targets: %v", hall, known).Field("hall")
	}
	for attempt := 0; ; attempt++ {
		active, err := isEvacuated(ctx, s, hall)
		switch {
		case err == nil && active == change.active && attempt == 0:
			return fault.New(fault.InvalidObject, change.holds, hall).Field("hall")
		case err == nil && active == change.active:
			_, err := fmt.Fprintf(a.out, change.done, hall)
			return err
		case err == nil:
			err = change.write(s, ctx, hall)
		}
		if err != nil && !errors.Is(err, store.ErrExists) && !awaitRetry(ctx, err) {
			return fmt.Errorf("it is unknown whether the store has the change of the evacuation of %s, run status: %w", hall, err)
		}
	}
}

// awaitRetry waits before the next call if the store did not answer the last one. It returns false if the
// time is over or the call cannot succeed.
func awaitRetry(ctx context.Context, err error) bool {
	if !errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrRateLimited) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(storeRetryInterval):
		return true
	}
}

// isEvacuated reports whether the store has an evacuation of the hall.
func isEvacuated(ctx context.Context, s *platform.Store, hall domain.HallName) (bool, error) {
	l, err := s.List(ctx, platform.Evacuations)
	if err != nil {
		return false, err
	}
	return slices.ContainsFunc(l.Records, func(r store.Record) bool { return r.Name == string(hall) }), nil
}

// listedHalls returns the data halls of the targets in the store, sorted.
func listedHalls(ctx context.Context, s *platform.Store) ([]domain.HallName, error) {
	l, err := s.List(ctx, platform.Targets)
	if err != nil {
		return nil, fmt.Errorf("list targets of the store: %w", err)
	}
	var halls []domain.HallName
	for _, r := range l.Records {
		if t, err := platform.DecodeTarget(time.Now(), r); err == nil { // other entries name no target
			halls = append(halls, t.Hall())
		}
	}
	slices.Sort(halls)
	return slices.Compact(halls), nil
}
