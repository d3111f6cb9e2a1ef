package process_test

import (
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"clovertrail.dev/node/process"
)

// signalTimeout bounds the wait for a signal that was sent to this process.
const signalTimeout = 10 * time.Second

// TestStopSignalIsNotLost guards against a process that goes on serving until it is killed, because its stop
// signal arrived together with signals to read the settings file again.
func TestStopSignalIsNotLost(t *testing.T) {
	observed := make(chan os.Signal, 8)
	signal.Notify(observed, syscall.SIGHUP, syscall.SIGTERM)
	defer signal.Stop(observed)
	s := process.NotifySignals()
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
		select {
		case <-observed:
		case <-time.After(signalTimeout):
			t.Fatalf("signal %v was not delivered", sig)
		}
	}
	signal.Stop(observed) // returns once the last signal is delivered to all receivers
	go s.Run(slog.New(slog.NewTextHandler(io.Discard, nil)))
	for name, c := range map[string]<-chan struct{}{"stop": s.Stop().Requested(), "reload": s.Changed()} {
		select {
		case <-c:
		case <-time.After(signalTimeout):
			t.Errorf("the signal to %s was lost", name)
		}
	}
}
