package cli

import (
	"context"
	"errors"
	"fmt"
	"io"

	ucli "github.com/urfave/cli/v3"

	"clovertrail.dev/settings"
)

// Version is the version of the command-line program.
const Version = "0.2.0"

// Exit codes.
const (
	ExitDone   = 0
	ExitFailed = 1 // the command failed, no log has the request, or the metrics of a box cannot be read
	ExitUsage  = 2 // the command line or a settings file is invalid, or a log file cannot be opened
)

// app holds the output writer that all commands share.
type app struct {
	out io.Writer
}

// usageError marks an error in the command line, or a log file that could not be opened; the
// exit code is ExitUsage.
type usageError struct{ error }

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	a := &app{out: out}
	err := a.command(errOut).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "clovertrail:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var usage usageError
	var file *settings.Error
	switch {
	case err == nil:
		return ExitDone
	case errors.As(err, &usage), errors.As(err, &file):
		return ExitUsage
	default:
		return ExitFailed
	}
}

func (a *app) command(errOut io.Writer) *ucli.Command {
	commands := []*ucli.Command{
		a.explainCommand(), a.reportCommand(), a.statusCommand(), a.evacuateCommand(), a.readmitCommand(),
		a.quarantineCommand(), a.liftCommand(), a.checkCommand(),
	}
	for _, c := range commands {
		c.OnUsageError = wrapUsageError
	}
	return &ucli.Command{
		Name: "clovertrail", Usage: "inspect and operate a clovertrail system", Version: Version,
		EnableShellCompletion: true, Writer: a.out, ErrWriter: errOut,
		ExitErrHandler: func(context.Context, *ucli.Command, error) {}, // Run prints the error
		OnUsageError:   wrapUsageError,
		Commands:       commands,
	}
}

func wrapUsageError(_ context.Context, _ *ucli.Command, err error, _ bool) error {
	return usageError{err}
}
