// Package cli implements the command line for operators. Its commands show what happened to
// a request (explain), summarise the logs of a period (report), show the contents of the
// platform's store (status) and the work in quarantine (quarantine), and validate a settings file
// (check-settings). Three change the platform's store, as operators do: evacuate keeps new work from the
// targets of a data hall, readmit ends that, and lift lifts the quarantine of a work.
//
// Exit codes: 0 success; 1 the command failed, or no log has the request; 2 the command line
// or a settings file is invalid, or a log file cannot be opened.
//
// # Usage
//
//	os.Exit(cli.Run(ctx, os.Args, os.Stdout, os.Stderr))
package cli
