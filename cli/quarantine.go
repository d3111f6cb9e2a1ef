package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/platform"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/store"
)

// liftTimeout bounds the command that lifts a quarantine.
const liftTimeout = 10 * time.Second

func (a *app) quarantineCommand() *ucli.Command {
	return &ucli.Command{
		Name: "quarantine", Usage: "list the work that is in quarantine, in the platform's store",
		Flags: []ucli.Flag{storeFlag()}, Action: a.quarantine,
	}
}

func (a *app) liftCommand() *ucli.Command {
	return &ucli.Command{
		Name: "lift", Usage: "lift the quarantine of a work at all boxes", ArgsUsage: "DIGEST",
		Flags: []ucli.Flag{storeFlag()}, Action: a.lift,
	}
}

// storedQuarantines are the quarantines in the store at a time.
type storedQuarantines struct {
	at       time.Time
	register *quarantine.Register
	unusable []store.Record // records that cannot be decoded
	names    map[string]bool
}

// readQuarantines lists the records of quarantines, and adds what they state to a register, as boxes do.
func readQuarantines(ctx context.Context, s *platform.Store) (storedQuarantines, error) {
	l, err := s.List(ctx, platform.Quarantines)
	if err != nil {
		return storedQuarantines{}, err
	}
	q := storedQuarantines{at: time.Now(), register: quarantine.NewRegister(), names: map[string]bool{}}
	for _, r := range l.Records {
		q.names[r.Name] = true
		var record quarantine.Record
		if json.Unmarshal(r.Spec, &record) != nil {
			q.unusable = append(q.unusable, r)
			continue
		}
		if record.Expired(q.at) {
			continue
		}
		if lift, lifted := record.Lift(q.at, q.at); lifted {
			q.register.ObserveLift(q.at, lift)
		}
		for _, o := range record.Observations(q.at, q.at) {
			q.register.Observe(q.at, o)
		}
	}
	return q, nil
}

func (a *app) quarantine(ctx context.Context, c *ucli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	q, err := readQuarantines(ctx, platform.NewStore(c.String("store"), http.DefaultClient, nil))
	if err != nil {
		return fmt.Errorf("list quarantines of the store: %w", err)
	}
	t := table{header: []string{"DIGEST", "ENDED TARGETS", "SINCE", "UNTIL", "TRIAL"}}
	for _, d := range q.register.InQuarantine(q.at) {
		t.rows = append(t.rows, q.row(d))
	}
	for _, r := range q.unusable {
		t.rows = append(t.rows, []string{r.Name, "-", "-", "-", "record cannot be decoded"})
	}
	return a.print(t)
}

// row returns the row of a work in quarantine.
func (q storedQuarantines) row(d call.Digest) []string {
	ended := q.register.Observations(d)
	var targets []string
	for _, o := range ended {
		targets = append(targets, string(o.Target))
	}
	until, _ := q.register.QuarantinedUntil(q.at, d)
	trial := "due"
	if from, _ := q.register.TrialFrom(q.at, d); from.After(q.at) {
		trial = "from " + from.Format(time.RFC3339)
	}
	return []string{string(d), strings.Join(targets, ","), ended[len(ended)-1].At.Format(time.RFC3339), until.Format(time.RFC3339), trial}
}

// lift writes a record that lifts the quarantine of the work. A call that the store did not answer may have
// been executed, or may be later, so the command reads whether the record is there, and writes it again if
// not. All tries have the same name, and the store refuses a name that exists.
func (a *app) lift(ctx context.Context, c *ucli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{fmt.Errorf("%s requires one argument: DIGEST", c.Name)}
	}
	d, err := call.ParseDigest(c.Args().First())
	if err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, liftTimeout)
	defer cancel()
	s := platform.NewStore(c.String("store"), http.DefaultClient, nil)
	var record *quarantine.Record // set once the quarantine to lift has been read
	for {
		q, err := readQuarantines(ctx, s)
		switch {
		case err != nil && record == nil:
			return fmt.Errorf("list quarantines of the store: %w", err)
		case err != nil:
		case record == nil && q.register.EndedTargets(d) == 0:
			return fault.New(fault.InvalidObject, "no quarantine of %s is in the store", d).Field("digest")
		case record == nil:
			r := quarantine.NewLiftRecord(d, q.at, q.register.Observations(d))
			record = &r
			err = writeLift(ctx, s, r)
		case q.names[record.Name()]:
			_, err := fmt.Fprintf(a.out, "the quarantine of %s is lifted\n", d)
			return err
		default:
			err = writeLift(ctx, s, *record)
		}
		if err != nil && !awaitRetry(ctx, err) {
			return fmt.Errorf("it is unknown whether the store has the lift of %s, run quarantine: %w", d, err)
		}
	}
}

// writeLift creates the record, unless an earlier call has.
func writeLift(ctx context.Context, s *platform.Store, r quarantine.Record) error {
	spec, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if err := s.Create(ctx, platform.Quarantines, r.Name(), spec); !errors.Is(err, store.ErrExists) {
		return err
	}
	return nil
}
