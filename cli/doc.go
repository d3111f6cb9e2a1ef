// Package cli implements the command line for operators. Its commands show what happened to
// a request (explain), summarise the logs of a period (report), show the contents of the
// platform's store and the overload in the metrics of boxes (status) and the work in quarantine
// (quarantine), and validate a settings file (check-settings). Three change the platform's store, as operators do: evacuate keeps new work from the
// targets of a data hall, readmit ends that, and lift lifts the quarantine of a work.
//
// Exit codes: 0 success; 1 the command failed, no log has the request, or the metrics of a box cannot be read; 2 the
// command line or a settings file is invalid, or a log file cannot be opened.
//
// # Usage
//
//	os.Exit(cli.Run(ctx, os.Args, os.Stdout, os.Stderr))
package cli
