package settings

import (
	"bytes"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// pollInterval is the time between two checks whether a settings file has changed, for
// platforms that change it without a signal: well within the seconds in which a
// configuration must be in force.
const pollInterval = time.Second

// File is the settings file of a process, which may change while the process runs.
// Current may be called from any goroutine, Watch and Reload from a single one.
type File[S any] struct {
	path     string
	defaults func() S
	raw      []byte // content when last read, also if it was rejected
	current  atomic.Pointer[S]
}

// Open reads the file for the first time. defaults returns the values of fields that the
// file does not name.
func Open[S any](path string, defaults func() S) (*File[S], error) {
	f := &File[S]{path: path, defaults: defaults}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{file: path, text: err.Error()}
	}
	s, err := f.parse(raw)
	if err != nil {
		return nil, err
	}
	f.raw = raw
	f.current.Store(&s)
	return f, nil
}

func (f *File[S]) parse(raw []byte) (S, error) {
	s := f.defaults()
	err := Parse(f.path, raw, &s)
	return s, err
}

// Current returns the settings of the last valid content of the file.
func (f *File[S]) Current() S { return *f.current.Load() }

// Watch reloads the file periodically and at each signal, and calls apply with changed
// settings. It returns when signal is closed.
func (f *File[S]) Watch(log *slog.Logger, signal <-chan struct{}, apply func(S)) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case _, open := <-signal:
			if !open {
				return
			}
			signalled = true
		case <-ticker.C:
		}
		fields, err := f.Reload()
		switch {
		case err != nil:
			log.Error("settings file is invalid, keeping the settings in force", "file", f.path, "err", err)
		case len(fields) > 0:
			apply(f.Current())
			log.Info("settings applied", "file", f.path, "changed", fields)
		case signalled:
			log.Info("settings reloaded, nothing changed", "file", f.path)
		}
	}
}

// Reload reads the file again, and returns the paths of the fields that have changed. A
// file with a mistake changes nothing; the mistake is returned once for each content.
func (f *File[S]) Reload() ([]string, error) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return nil, &Error{file: f.path, text: err.Error()}
	}
	if bytes.Equal(raw, f.raw) {
		return nil, nil
	}
	f.raw = raw
	s, err := f.parse(raw)
	if err != nil {
		return nil, err
	}
	fields := Changed(f.Current(), s)
	f.current.Store(&s)
	return fields, nil
}
