package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/node/process"
	"clovertrail.dev/node/rank"
	"clovertrail.dev/settings"
	"clovertrail.dev/telemetry"
)

// SettingsVariable is the environment variable that holds the path of the settings file.
const SettingsVariable = "CLOVERTRAIL_BOOT"

// gcPercent is the garbage collection target percentage (GOGC). Memory of the boxes is scarce and
// the processes allocate little, so they collect about twice as often as with the default of 100.
const gcPercent = 40

// runner is an entry or an agent.
type runner interface {
	// Run serves until the stop is requested.
	Run(stop *process.Stop) error
}

// loaders maps a role to the function that loads the settings file and builds the process.
var loaders = map[string]func(path string, s *process.Signals) (*loadedProcess, error){
	"entry": loadEntry,
	"agent": loadAgent,
}

// flushTimeout bounds the wait for the output to take the last log lines. It is well within process.StopMargin.
const flushTimeout = 200 * time.Millisecond

// loadedProcess is a process that is ready to run.
type loadedProcess struct {
	process       runner
	common        telemetry.Common
	logLines      *telemetry.LineWriter
	watchSettings func(changed <-chan struct{}) // reloads the settings file when it changes
	onResume      func()                        // called after a suspension of the machine
}

// Main runs the process of the role with the settings file until the platform stops it.
func Main(role, file string) error {
	signals := process.NotifySignals()
	debug.SetGCPercent(gcPercent)
	load, ok := loaders[role]
	if !ok {
		return fmt.Errorf("unknown role %q, want entry or agent", role)
	}
	p, err := load(file, signals)
	if err != nil && signals.StopPending() {
		return nil // the wait for the settings file ended with a planned stop
	}
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	logged := make(chan struct{})
	go func() {
		p.logLines.Run(ended)
		close(logged)
	}()
	p.common.Log.Info("starting", append([]any{"role", role, "settings", file}, process.MachineLimits()...)...)
	go signals.Run(p.common.Log)
	go p.watchSettings(signals.Changed())
	go clock.NewSuspensionMonitor(clock.ReadMachineOffset).Run(context.Background(), p.onSuspended)
	if err = p.process.Run(signals.Stop()); err != nil {
		p.common.Log.Error("process ends by itself, the platform is expected to start it again", "err", err)
	}
	close(ended)
	select {
	case <-logged:
	case <-time.After(flushTimeout):
	}
	return err
}

// Times of the wait for a settings file that the platform is writing as the process starts.
const (
	settingsTimeout       = 3 * time.Second
	settingsRetryInterval = 100 * time.Millisecond
)

// openSettings opens the settings file. It waits for one that is missing or incomplete, until a stop signal arrives.
func openSettings[S any](path string, defaults func() S, signals *process.Signals) (f *settings.File[S], ignored []error, err error) {
	for deadline := time.Now().Add(settingsTimeout); ; time.Sleep(settingsRetryInterval) {
		f, ignored, err = settings.OpenLenient(path, defaults)
		var e *settings.Error
		if !errors.As(err, &e) || !e.Incomplete() || signals.StopPending() || time.Now().After(deadline) {
			return f, ignored, err
		}
	}
}

func loadEntry(path string, s *process.Signals) (*loadedProcess, error) {
	f, ignored, err := openSettings(path, process.DefaultEntrySettings, s)
	if err != nil {
		return nil, err
	}
	debug.SetMemoryLimit(f.Current().SoftMemoryLimit())
	p := newLoadedProcess(f.Current().Box, ignored)
	e := NewEntry(p.common, process.MachineNetwork(), f.Current)
	p.onResume = e.CatchUpAfterSuspension
	p.process, p.watchSettings = e, func(changed <-chan struct{}) { f.Watch(p.common.Log, changed, e.ApplySettings) }
	return p, nil
}

func loadAgent(path string, s *process.Signals) (*loadedProcess, error) {
	f, ignored, err := openSettings(path, process.DefaultAgentSettings, s)
	if err != nil {
		return nil, err
	}
	p := newLoadedProcess(f.Current().Box, ignored)
	p.process = rank.NewAgent(p.common, process.MachineNetwork(), f.Current)
	p.watchSettings = func(changed <-chan struct{}) {
		f.Watch(p.common.Log, changed, func(process.AgentSettings) {}) // the agent reads the current settings at each use
	}
	return p, nil
}

// newLoadedProcess returns a process without a runner that logs to standard output. It logs the mistakes in the settings that were
// ignored.
func newLoadedProcess(box string, ignored []error) *loadedProcess {
	m := telemetry.NewMetrics()
	lines := telemetry.NewLineWriter(os.Stdout, m, telemetry.LineBytesPerSecond)
	c := telemetry.New(lines, box)
	c.Metrics = m
	for _, err := range ignored {
		c.Log.Error("setting is invalid, using the nearest allowed value or the default", "err", err)
	}
	return &loadedProcess{common: c, logLines: lines, onResume: func() {}}
}
