package process

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/shutdown"
)

// Signals receives the signals with which the platform stops a process or announces a changed settings
// file. Signals of one kind that arrive together count as one; none is lost because one of the other kind
// arrives with it, as when a paused process resumes.
type Signals struct {
	stopSignals, reloadSignals chan os.Signal
	monitor                    *shutdown.SignalMonitor
	stop                       *Stop
	changed                    chan struct{}
}

// signalCheckInterval is the time between two checks that no stop signal is pending. The time for which a stopping box accepts requests
// is shortened by up to this.
const signalCheckInterval = 250 * time.Millisecond

// NotifySignals begins to receive signals. A process calls it before anything else, because signals that
// arrive earlier end it. From then on a write to a standard output that nobody reads fails, where the runtime would
// otherwise end the process.
func NotifySignals() *Signals {
	s := &Signals{
		stopSignals: make(chan os.Signal, 1), reloadSignals: make(chan os.Signal, 1),
		monitor: shutdown.NewSignalMonitor(clock.Now(), signalCheckInterval), stop: NewStop(), changed: make(chan struct{}, 1),
	}
	signal.Notify(s.stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloadSignals, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// Stop returns the stop that the first signal to stop the process requests.
func (s *Signals) Stop() *Stop { return s.stop }

// StopPending reports whether a signal to stop the process has arrived that Run has not handled.
func (s *Signals) StopPending() bool { return len(s.stopSignals) > 0 }

// Changed returns a channel that receives a value on a signal to read the settings file again.
func (s *Signals) Changed() <-chan struct{} { return s.changed }

// Run logs and passes on signals for as long as the process runs.
func (s *Signals) Run(log *slog.Logger) {
	check := time.NewTimer(signalCheckInterval) // a ticker would shorten the time after a late check
	defer check.Stop()
	stopping := false
	for {
		select {
		case sig := <-s.stopSignals:
			log.Info("signal", "signal", sig, "stopping", stopping)
			if !stopping {
				stopping = true
				check.Stop()
				s.stop.Request(s.monitor.Receive(clock.Now()))
			}
		case sig := <-s.reloadSignals:
			log.Info("signal", "signal", sig)
			select {
			case s.changed <- struct{}{}:
			default: // a reload is already pending
			}
		case <-check.C:
			if len(s.stopSignals) == 0 {
				s.monitor.NonePending(clock.Now())
			}
			check.Reset(signalCheckInterval)
		}
	}
}
