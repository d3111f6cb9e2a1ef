package main_test

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// stopTime is the time that the default settings give a planned stop.
const stopTime = 8 * time.Second

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
			n.signal(t, syscall.SIGHUP)             // logs a line
			time.Sleep(2 * 100 * time.Millisecond) // lines are written every 100 ms
		}
		n.stop(t, stopTime)
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
		n.stop(t, stopTime)
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
