// Package soak runs entry boxes as separate processes on one machine, breaks what is
// round them from outside, and checks the promises from what callers and targets see.
//
// The store, the targets and the callers are the stand-ins of platform/standin, in this
// process. Between each box and the store, and before each target, stands a loopback
// proxy that delays, resets, cuts one way or falls silent. Boxes are stopped, paused,
// killed, told to read their settings again, and started anew by signals, to processes
// that the soak started and by their ids only. What happens is drawn from a seed, comes
// in series and overlaps; the run ends with a calm while, in which all must be served.
//
// Promises with a time bound are checked only where nothing that excuses was under way;
// the others always. Clocks of processes cannot be moved here without privileges, and
// nothing has storage; groups of ranks are not part of it (mapswitch/orders has a model
// of them).
//
// # Usage
//
//	go run ./cmd/clovertrail-soak --seeds 50            # by hand
//	report, err := soak.Run(ctx, soak.Options{Program: path, Seed: 7, Duration: 20 * time.Second})
package soak
