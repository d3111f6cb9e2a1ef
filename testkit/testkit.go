// Package testkit provides helpers shared by the tests of several packages.
//
// # Usage
//
//	func TestMain(m *testing.M) { testkit.Main(m, 400, 0) }
package testkit

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

// seed is the fixed random seed of rapid, so that CI has the same result in each run.
const seed = "20261202"

// Main runs the tests with a fixed seed for rapid, the given number of checks of each property
// and, if steps is not zero, the given number of steps in each state machine. Flags on the
// command line take precedence: -rapid.seed=0 draws a new seed, and -rapid.checks and
// -rapid.steps set the length of a run.
func Main(m *testing.M, checks, steps int) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	defaults := map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"}
	if steps > 0 {
		defaults["rapid.steps"] = strconv.Itoa(steps)
	}
	for name, value := range defaults {
		if !explicit[name] {
			_ = flag.Set(name, value) // cannot fail: rapid has registered the flag
		}
	}
	os.Exit(m.Run())
}
