package main_test

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestProcessOutlivesReaderOfItsLog guards against a process that ends at its next log line since the reader of its output has gone.
func TestProcessOutlivesReaderOfItsLog(t *testing.T) {
	t.Parallel()
	for _, n := range newNodes(t) {
		r, w := pipe(t)
		n.startWithOutput(t, w)
		_ = w.Close()
		if _, err := r.Read(make([]byte, 1)); err != nil { // the process has begun to log
			t.Fatal(err)
		}
		_ = r.Close()
		n.await(t, "metrics", func() bool { return accepts(n.settings["metrics"].(string)) })
		for range 5 {
			n.signal(t, syscall.SIGHUP)            // logs a line
			time.Sleep(2 * 100 * time.Millisecond) // lines are written every 100 ms
		}
		n.stop(t)
	}
}

// TestStopDoesNotWaitForReaderOfLog guards against a planned stop that ends in a kill, since the reader of the output stands still.
func TestStopDoesNotWaitForReaderOfLog(t *testing.T) {
	t.Parallel()
	for _, n := range newNodes(t) {
		_, w := pipe(t)
		if _, err := w.Write(make([]byte, os.Getpagesize())); err != nil { // the pipe is full
			t.Fatal(err)
		}
		n.startWithOutput(t, w)
		n.await(t, "metrics", func() bool { return accepts(n.settings["metrics"].(string)) })
		n.stop(t)
	}
}

// TestLogTellsStartAndLimits guards against processes that end without a line from which the reason can be told: the limits of the
// machine stand in the first line.
func TestLogTellsStartAndLimits(t *testing.T) {
	t.Parallel()
	for _, n := range newNodes(t) {
		n.start(t)
		n.awaitLine(t, "msg=starting box="+n.settings["box"].(string)+" role="+n.role)
		n.awaitLine(t, "max_descriptors=")
		n.awaitLine(t, "max_address_space=")
	}
}

// TestProcessStartsBesideTakenAddresses guards against a process that ends at its start since something else has one of its addresses: another
// program, or the process before it, which is in its planned stop.
func TestProcessStartsBesideTakenAddresses(t *testing.T) {
	t.Parallel()
	for _, n := range newNodes(t) {
		for _, name := range append(entryAddresses, "all") {
			if _, ok := n.settings[name]; !ok && name != "all" {
				continue // an address of the other role
			}
			t.Run(n.role+"/"+name, func(t *testing.T) {
				t.Parallel()
				n := n.clone()
				var taken []net.Listener
				for _, address := range entryAddresses {
					if a, ok := n.settings[address]; ok && (address == name || name == "all") {
						taken = append(taken, listen(t, a.(string)))
					}
				}
				n.start(t)
				for _, l := range taken {
					n.awaitLine(t, "address="+l.Addr().String())
					if err := l.Close(); err != nil {
						t.Fatal(err)
					}
				}
				n.awaitLine(t, "msg=started")
				for _, l := range taken {
					n.await(t, "listener at "+l.Addr().String(), func() bool { return accepts(l.Addr().String()) })
				}
				n.stop(t)
			})
		}
	}
}

// TestProcessWithoutOptionalAddressServes guards against a box that does not serve since its metrics or its second address for other
// boxes stay taken.
func TestProcessWithoutOptionalAddressServes(t *testing.T) {
	t.Parallel()
	for _, n := range newNodes(t) {
		listen(t, n.settings["metrics"].(string))
		if meeting, ok := n.settings["meeting"]; ok {
			listen(t, meeting.(string))
		}
		n.start(t)
		n.awaitLine(t, "msg=started")
		n.stop(t)
	}
}

// TestWaitForAddressEndsWithStop guards against a process that is killed in its planned stop since it waits for an address.
func TestWaitForAddressEndsWithStop(t *testing.T) {
	t.Parallel()
	for _, n := range newNodes(t) {
		listen(t, n.settings["peers"].(string))
		n.start(t)
		n.awaitLine(t, "cannot listen")
		n.stop(t)
	}
}

// listen listens at the address until the test ends or the listener is closed.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // fails if it is closed already
	return l
}

// TestProcessRunsInLimitedAddressSpace guards against a process that ends at its start or later since it cannot create a thread: the
// machine limits the address space of its processes.
func TestProcessRunsInLimitedAddressSpace(t *testing.T) {
	t.Parallel()
	const starts, connections = 6, 40
	for _, n := range newNodes(t) {
		n.limits = "-v 1048576" // kB: what the runtime reserves, and the memory of a box several times
		for range starts {
			n := n.clone()
			n.start(t)
			n.awaitLine(t, "msg=started")
			for range connections {
				c, err := net.Dial("tcp", n.settings["peers"].(string))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = c.Close() }()
			}
			n.signal(t, syscall.SIGHUP)
			n.awaitLine(t, "signal=hangup")
		}
	}
}

// TestReloadSignalDoesNotEndStart guards against a process that ends since the signal to read its settings again arrives while it starts. It is
// sent as soon as the process handles the signal in any way.
func TestReloadSignalDoesNotEndStart(t *testing.T) {
	t.Parallel()
	const starts = 10 // with different delays until the signal arrives
	for _, n := range newNodes(t) {
		for range starts {
			n := n.clone()
			n.start(t)
			n.await(t, "handler of the signal", func() bool { return n.handles(t, syscall.SIGHUP) })
			n.signal(t, syscall.SIGHUP)
			n.awaitLine(t, "msg=started")
			n.signal(t, syscall.SIGHUP)
			n.awaitLine(t, "signal=hangup")
		}
	}
}

// TestProcessWaitsForSettingsFile guards against a process that ends at its start since the platform is still writing its settings file.
func TestProcessWaitsForSettingsFile(t *testing.T) {
	t.Parallel()
	for name, part := range map[string]string{"empty": "", "half": `{"box": "a", "ha`} {
		for _, n := range newNodes(t) {
			path := filepath.Join(t.TempDir(), "settings.json")
			if err := os.WriteFile(path, []byte(part), 0o600); err != nil {
				t.Fatal(err)
			}
			n.createLog(t)
			n.startWithSettings(t, path, n.log)
			n.await(t, "handler of signals", func() bool { return n.receivesSignals(t) })
			time.Sleep(200 * time.Millisecond) // for a first attempt to read the file
			if n.hasEnded() {
				t.Fatalf("%s, %s file: the process ended: %v", n.role, name, n.command.ProcessState)
			}
			n.writeSettings(t, path)
			n.awaitLine(t, "msg=started")
		}
	}
}

// TestStopEndsWaitForSettingsFile guards against a stop that counts as a failure, and is delayed, since the process waits for its settings file.
func TestStopEndsWaitForSettingsFile(t *testing.T) {
	t.Parallel()
	for _, n := range newNodes(t) {
		n.createLog(t)
		n.startWithSettings(t, filepath.Join(t.TempDir(), "missing.json"), n.log)
		n.await(t, "handler of signals", func() bool { return n.receivesSignals(t) })
		n.stop(t)
	}
}

// TestProcessStartsWithOddSettings guards against a process that ends at its start since the platform states a bound or limit as zero, as a
// fraction, or as true.
func TestProcessStartsWithOddSettings(t *testing.T) {
	t.Parallel()
	odd := map[string]any{
		"memory_mb": 0, "link_mbps": 0, "agent_port": 70000,
		"bounds": map[string]any{
			"drain": "0ms", "stop": "0.5s", "config_apply": "trues", "evacuate": "ms", "contact": "1e3ms",
			"retry_share": true, "retry_slack": -1, "retry_window": "0s",
		},
	}
	for _, n := range newNodes(t) {
		for name, value := range odd {
			t.Run(n.role+"/"+name, func(t *testing.T) {
				t.Parallel()
				n := n.clone()
				n.settings[name] = value
				n.start(t)
				n.awaitLine(t, "setting is invalid")
				n.awaitLine(t, "msg=started")
				n.stop(t)
			})
		}
	}
}

// TestStopCountsFromSignalOfPausedProcess guards against a box that counts the time of its planned stop from the end of a pause, although the stop
// signal was sent during the pause.
func TestStopCountsFromSignalOfPausedProcess(t *testing.T) {
	t.Parallel()
	const processes = 8 // which of the check and the signal comes first after a pause is a matter of chance
	entry := newNodes(t)[0]
	for range processes {
		n := entry.clone()
		t.Run("", func(t *testing.T) {
			t.Parallel()
			n.start(t)
			n.awaitLine(t, "msg=started")
			time.Sleep(500 * time.Millisecond) // some checks that no signal is pending
			n.signal(t, syscall.SIGSTOP)
			sent := time.Now()
			n.signal(t, syscall.SIGTERM)
			time.Sleep(time.Second)
			n.signal(t, syscall.SIGCONT)
			n.awaitLine(t, "signal_sent_after=")
			if got := n.loggedTime(t, "signal_sent_after="); got.After(sent) {
				t.Errorf("the stop counts from %v after its signal, which was sent while the process was paused", got.Sub(sent))
			}
		})
	}
}
