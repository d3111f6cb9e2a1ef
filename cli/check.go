package cli

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/node/process"
	"clovertrail.dev/settings"
)

// settingsChecks maps each role to a function that reads and validates its settings file.
var settingsChecks = map[string]func(path string) error{
	"entry": func(path string) error { _, err := settings.Open(path, process.DefaultEntrySettings); return err },
	"agent": func(path string) error { _, err := settings.Open(path, process.DefaultAgentSettings); return err },
}

func (a *app) checkCommand() *ucli.Command {
	roles := strings.Join(slices.Sorted(maps.Keys(settingsChecks)), " or ")
	return &ucli.Command{
		Name: "check-settings", Usage: "say whether clovertrail-node takes a settings file", ArgsUsage: "FILE",
		Flags:  []ucli.Flag{&ucli.StringFlag{Name: "role", Value: "entry", Usage: roles}},
		Action: a.check,
	}
}

func (a *app) check(_ context.Context, c *ucli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{errors.New("want FILE")}
	}
	check, ok := settingsChecks[c.String("role")]
	if !ok {
		return usageError{fmt.Errorf("no role %q", c.String("role"))}
	}
	if err := check(c.Args().First()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.out, "%s: fine for the role %s\n", c.Args().First(), c.String("role"))
	return err
}
