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

// roleNames returns the roles for use in texts.
func roleNames() string { return strings.Join(slices.Sorted(maps.Keys(settingsChecks)), " or ") }

func (a *app) checkCommand() *ucli.Command {
	return &ucli.Command{
		Name: "check-settings", Usage: "check whether a settings file is valid for clovertrail-node", ArgsUsage: "FILE",
		Flags:  []ucli.Flag{&ucli.StringFlag{Name: "role", Value: "entry", Usage: "role of the process: " + roleNames()}},
		Action: a.check,
	}
}

func (a *app) check(_ context.Context, c *ucli.Command) error {
	if c.Args().Len() != 1 {
		return usageError{errors.New("check-settings requires one argument: FILE")}
	}
	check, ok := settingsChecks[c.String("role")]
	if !ok {
		return usageError{fmt.Errorf("unknown role %q: must be %s", c.String("role"), roleNames())}
	}
	if err := check(c.Args().First()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(a.out, "%s: valid for role %s\n", c.Args().First(), c.String("role"))
	return err
}
