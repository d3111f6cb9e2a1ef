package process

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals with which the platform stops a process or announces a changed settings
// file. Signals of one kind that arrive together count as one; none is lost because one of the other kind
// arrives with it, as when a paused process resumes.
type Signals struct {
	stopSignals, reloadSignals chan os.Signal
	stop, changed              chan struct{}
}

// NotifySignals begins to receive signals. A process calls it before anything else, because signals that
// arrive earlier end it. From then on a write to a standard output that nobody reads fails, where the runtime would
// otherwise end the process.
func NotifySignals() *Signals {
	signal.Ignore(syscall.SIGPIPE)
	s := &Signals{
		stopSignals: make(chan os.Signal, 1), reloadSignals: make(chan os.Signal, 1),
		stop: make(chan struct{}), changed: make(chan struct{}, 1),
	}
	signal.Notify(s.stopSignals, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloadSignals, syscall.SIGHUP)
	return s
}

// Stop returns a channel that is closed on the first signal to stop the process.
func (s *Signals) Stop() <-chan struct{} { return s.stop }

// Changed returns a channel that receives a value on a signal to read the settings file again.
func (s *Signals) Changed() <-chan struct{} { return s.changed }

// Run logs and passes on signals for as long as the process runs.
func (s *Signals) Run(log *slog.Logger) {
	stopping := false
	for {
		select {
		case sig := <-s.stopSignals:
			log.Info("signal", "signal", sig, "stopping", stopping)
			if !stopping {
				stopping = true
				close(s.stop)
			}
		case sig := <-s.reloadSignals:
			log.Info("signal", "signal", sig)
			select {
			case s.changed <- struct{}{}:
			default: // a reload is already pending
			}
		}
	}
}
