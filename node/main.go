package node

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/node/process"
	"clovertrail.dev/node/rank"
	"clovertrail.dev/settings"
	"clovertrail.dev/telemetry"
)

// SettingsVariable names the settings file to the process.
const SettingsVariable = "CLOVERTRAIL_BOOT"

// gcPercent is how much of what lives a process may allocate before it collects: boxes'
// memory is dear and they allocate little, so they collect twice as often as usual.
const gcPercent = 40

// runner is one of the two processes.
type runner interface {
	// Run serves until leave is closed.
	Run(leave <-chan struct{}) error
}

// roles has one row for each process.
var roles = map[string]func(path string) (*loaded, error){
	"entry": loadEntry,
	"agent": loadAgent,
}

// loaded is a process ready to run.
type loaded struct {
	process runner
	common  telemetry.Common
	lines   *telemetry.LineWriter
	watch   func(signal <-chan struct{}) // for changes of the settings file
	woken   func()                       // called after a suspension of the machine
}

// Main runs the role with the settings file until the platform stops it.
func Main(role, file string) error {
	debug.SetGCPercent(gcPercent)
	load, ok := roles[role]
	if !ok {
		return fmt.Errorf("unknown role %q", role)
	}
	p, err := load(file)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	done := make(chan struct{})
	go func() {
		p.lines.Run(stopped)
		close(done)
	}()
	leave, changed := onSignal(p.common)
	go p.watch(changed)
	go clock.NewSuspensionMonitor(clock.ReadMachineOffset).Run(context.Background(), p.suspended)
	err = p.process.Run(leave)
	close(stopped)
	<-done
	return err
}

// onSignal gives a channel that is closed when the platform stops the process, and one
// on which it reports that the settings file has changed.
func onSignal(c telemetry.Common) (leave, changed chan struct{}) {
	leave, changed = make(chan struct{}), make(chan struct{}, 1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		for s := range signals {
			c.Log.Info("signal", "signal", s)
			if s != syscall.SIGHUP {
				close(leave)
				return
			}
			select {
			case changed <- struct{}{}:
			default: // the file will be read again already
			}
		}
	}()
	return leave, changed
}

func loadEntry(path string) (*loaded, error) {
	f, err := settings.Open(path, process.DefaultEntrySettings)
	if err != nil {
		return nil, err
	}
	p := newLoaded(f.Current().Box)
	e := NewEntry(p.common, process.MachineNetwork(), f.Current)
	p.woken = e.Woken
	p.process, p.watch = e, func(signal <-chan struct{}) { f.Watch(p.common.Log, signal, e.Took) }
	return p, nil
}

func loadAgent(path string) (*loaded, error) {
	f, err := settings.Open(path, process.DefaultAgentSettings)
	if err != nil {
		return nil, err
	}
	p := newLoaded(f.Current().Box)
	p.process = rank.NewAgent(p.common, process.MachineNetwork(), f.Current)
	p.watch = func(signal <-chan struct{}) { f.Watch(p.common.Log, signal, func(process.AgentSettings) {}) } // read where they are used
	return p, nil
}

// newLoaded logs to standard output.
func newLoaded(box string) *loaded {
	m := telemetry.NewMetrics()
	lines := telemetry.NewLineWriter(os.Stdout, m, telemetry.LineBytesPerSecond)
	c := telemetry.New(lines, box)
	c.Metrics = m
	return &loaded{common: c, lines: lines, woken: func() {}}
}
