package settings

import (
	"bytes"
	"errors"
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
	lenient  bool
	raw      []byte // content when last read, also if it was rejected
	current  atomic.Pointer[S]
}

// Open reads the file for the first time. defaults returns the values of fields that the
// file does not name. Any mistake in the file is an error.
func Open[S any](path string, defaults func() S) (*File[S], error) {
	f := &File[S]{path: path, defaults: defaults}
	_, err := f.open()
	return f, err
}

// OpenLenient reads the file like Open, but mistakes in fields that are not required are returned as ignored, as ParseLenient
// does: a process that uses another value for one of them is of more use than none.
func OpenLenient[S any](path string, defaults func() S) (f *File[S], ignored []error, err error) {
	f = &File[S]{path: path, defaults: defaults, lenient: true}
	ignored, err = f.open()
	return f, ignored, err
}

func (f *File[S]) open() (ignored []error, err error) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return nil, &Error{file: f.path, text: err.Error(), incomplete: true}
	}
	s, ignored, err := f.parse(raw, f.defaults())
	if err != nil {
		return nil, err
	}
	f.raw = raw
	f.current.Store(&s)
	return ignored, nil
}

// parse decodes the content. The fallback is for fields with mistakes that are ignored.
func (f *File[S]) parse(raw []byte, fallback S) (s S, ignored []error, err error) {
	s = f.defaults()
	if !f.lenient {
		return s, nil, Parse(f.path, raw, &s)
	}
	ignored, err = ParseLenient(f.path, raw, &s, fallback)
	return s, ignored, err
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
		if err != nil {
			log.Error("settings file has mistakes, keeping the settings in force for their fields, or for all if it cannot be used", "file", f.path, "err", err)
		}
		switch {
		case len(fields) > 0:
			apply(f.Current())
			log.Info("settings applied", "file", f.path, "changed", fields)
		case signalled && err == nil:
			log.Info("settings reloaded, nothing changed", "file", f.path)
		}
	}
}

// Reload reads the file again, and returns the paths of the fields that have changed. A
// file with a mistake changes nothing; the mistake is returned once for each content. With OpenLenient, a field with a mistake
// that can be ignored keeps the value in force, unless it is out of range, and the mistakes are returned beside the changes of the other fields.
func (f *File[S]) Reload() ([]string, error) {
	raw, err := os.ReadFile(f.path)
	if err != nil {
		return nil, &Error{file: f.path, text: err.Error(), incomplete: true}
	}
	if bytes.Equal(raw, f.raw) {
		return nil, nil
	}
	f.raw = raw
	s, ignored, err := f.parse(raw, f.Current())
	if err != nil {
		return nil, err
	}
	fields := Changed(f.Current(), s)
	f.current.Store(&s)
	return fields, errors.Join(ignored...)
}
