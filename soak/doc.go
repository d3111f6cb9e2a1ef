// Package soak runs entry boxes as separate processes on one machine, injects faults into their
// surroundings, and checks the guarantees of the system against the records of callers and targets.
//
// Callers keep connections open until the boxes close them.
//
// The store, the targets and the callers are the stand-ins of platform/standin, and run in this
// process. A loopback proxy between each box and the store, and in front of each target, delays
// data, resets connections, or drops data in one or both directions. Boxes are stopped, paused,
// killed, made to reload their settings, and restarted. Signals are sent only to processes that the
// soak has started, by their process ids. All actions are drawn from a seed; they follow one another
// and overlap. Each run ends with a fault-free period, in which all requests must be served.
//
// Guarantees with a time bound are checked only while no fault that excuses a violation was in
// effect; the others are always checked. The soak does not cover changes of a process's clock, which
// would need privileges, faults of storage, because no process has any, and changes of the expert maps of
// groups (mapswitch/orders has a model of them).
//
// # Usage
//
//	go run ./cmd/clovertrail-soak --seeds 50            # on the command line
//	report, err := soak.Run(ctx, soak.Options{Program: path, Seed: 7, Duration: 20 * time.Second})
package soak
