package node

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"clovertrail.dev/settings"
	"clovertrail.dev/telemetry"
)

// SettingsVariable names the settings file to the process.
const SettingsVariable = "CLOVERTRAIL_BOOT"

// process is one of the two processes.
type process interface {
	// Run serves until leave is closed.
	Run(leave <-chan struct{}) error
}

// roles has one row for each process.
var roles = map[string]func(file string) (process, telemetry.Common, *telemetry.Lines, error){
	"entry": loadEntry,
	"agent": loadAgent,
}

// Main runs the role with the settings file until the platform stops it.
func Main(role, file string) error {
	load, ok := roles[role]
	if !ok {
		return fmt.Errorf("unknown role %q", role)
	}
	p, common, lines, err := load(file)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		lines.Run(stopped)
		close(done)
	}()
	err = p.Run(onSignal(common))
	close(stopped)
	<-done
	return err
}

// onSignal gives a channel that is closed when the platform stops the process.
func onSignal(c telemetry.Common) <-chan struct{} {
	leave := make(chan struct{})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			c.Log.Info("signal", "signal", s)
			if s != syscall.SIGHUP {
				close(leave)
				return
			}
		}
	}()
	return leave
}

func loadEntry(file string) (process, telemetry.Common, *telemetry.Lines, error) {
	s := DefaultEntrySettings()
	if err := settings.Load(file, &s); err != nil {
		return nil, telemetry.Common{}, nil, err
	}
	c, lines := newCommon(s.Box)
	return NewEntry(c, s), c, lines, nil
}

func loadAgent(file string) (process, telemetry.Common, *telemetry.Lines, error) {
	s := DefaultAgentSettings()
	if err := settings.Load(file, &s); err != nil {
		return nil, telemetry.Common{}, nil, err
	}
	c, lines := newCommon(s.Box)
	return NewAgent(c, s), c, lines, nil
}

// newCommon logs to standard output.
func newCommon(box string) (telemetry.Common, *telemetry.Lines) {
	m := telemetry.NewMetrics()
	lines := telemetry.NewLines(os.Stdout, m, telemetry.LineBytesPerSecond)
	c := telemetry.New(lines, box)
	c.Metrics = m
	return c, lines
}
