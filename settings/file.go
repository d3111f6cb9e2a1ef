package settings

import (
	"bytes"
	"log/slog"
	"os"
	"sync/atomic"
	"time"
)

// lookEvery is the time between two looks whether a settings file has changed, for
// platforms that change it without a signal: well within the seconds in which a
// configuration must be in force.
const lookEvery = time.Second

// File is the settings file of a process, which may change while it runs. Current may
// be called from any goroutine; Watch or Again from one.
type File[S any] struct {
	path     string
	defaults func() S
	raw      []byte // as it was last read
	now      atomic.Pointer[S]
}

// Open reads the file for the first time. defaults gives the values of fields that it
// does not name.
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
	f.now.Store(&s)
	return f, nil
}

func (f *File[S]) parse(raw []byte) (S, error) {
	s := f.defaults()
	err := Parse(f.path, raw, &s)
	return s, err
}

// Current is what the file said when it was last read without a mistake.
func (f *File[S]) Current() S { return *f.now.Load() }

// Watch reads the file again when it has changed or a signal comes, until signal is
// closed, and hands changed settings to took.
func (f *File[S]) Watch(log *slog.Logger, signal <-chan struct{}, took func(S)) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		asked := false
		select {
		case _, open := <-signal:
			if !open {
				return
			}
			asked = true
		case <-look.C:
		}
		fields, err := f.Reload()
		switch {
		case err != nil:
			log.Error("settings not taken, the former stay", "file", f.path, "err", err)
		case len(fields) > 0:
			took(f.Current())
			log.Info("settings taken", "file", f.path, "changed", fields)
		case asked:
			log.Info("settings read again, nothing changed", "file", f.path)
		}
	}
}

// Reload reads the file again, and names the fields that have changed. A file with a
// mistake changes nothing; the mistake is told once.
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
	f.now.Store(&s)
	return fields, nil
}
