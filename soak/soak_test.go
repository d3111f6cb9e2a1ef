package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"clovertrail.dev/soak"
)

// TestPromisesHoldUnderFaults is a short run of the soak; docs/TESTING.md reports the
// long ones. Seeds that ever failed are kept here, with a line on the cause:
// 134, net/http dropped a request read just as a stopping box shut its listener
// (now gateway.Listener); 405 with a fatal caller, the whole machine stood still for seconds, and so
// did the run itself.
func TestPromisesHoldUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("runs for many seconds")
	}
	program := filepath.Join(t.TempDir(), "clovertrail-node")
	if out, err := exec.Command("go", "build", "-o", program, "clovertrail.dev/cmd/clovertrail-node").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, o := range []soak.Options{{Seed: 1}, {Seed: 134}, {Seed: 1, Fatal: true}, {Seed: 405, Fatal: true}, {Seed: 600, Asks: true}, {Seed: 800, Limits: true}, {Seed: 901, Restores: true}} {
		seed := o.Seed
		o.Program, o.For, o.Dir = program, soak.LeastFor+3*1e9, t.TempDir()
		if o.Limits || o.Restores {
			o.For += 6 * time.Second // a limit, or a copy and what follows a restore, last longer than that
		}
		r, err := soak.Run(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range r.Violations {
			t.Errorf("seed %d: %s: %s (%v)", seed, v.Promise, v.What, r.Acts)
		}
		if r.Served == 0 {
			t.Errorf("seed %d: nothing was served", seed)
		}
	}
}
