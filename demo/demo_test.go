package demo_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"clovertrail.dev/demo"
)

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "w.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestReadWorkload(t *testing.T) {
	for name, tt := range map[string]struct {
		text string
		err  string // part of the error's text; empty for no error
	}{
		"comments and defaults": {`{"seconds": 3 /* short */, "faults": [{"kind": "box dies", "at_seconds": 1, "for_seconds": 1}]}`, ""},
		"no such field":         {`{"second": 3}`, "second"},
		"no such fault":         {`{"faults": [{"kind": "meteor"}]}`, "meteor"},
		"no such kind":          {`{"mix": {"film": 1}}`, "film"},
		"no ranks":              {`{"ranks": 0}`, "ranks"},
		"not JSON":              {`{`, "w.json"},
	} {
		t.Run(name, func(t *testing.T) {
			w, err := demo.ReadWorkload(write(t, tt.text))
			if tt.err != "" {
				if !demo.ErrWorkload.Has(err) || !strings.Contains(err.Error(), tt.err) {
					t.Errorf("error %v, want a workload error that contains %q", err, tt.err)
				}
				return
			}
			if err != nil || w.Seconds != 3 || w.Ranks != demo.DefaultWorkload().Ranks || len(w.Faults) != 1 {
				t.Errorf("got %+v, %v", w, err)
			}
		})
	}
}

// TestExampleWorkloadsAreValid reads every workload in examples/workloads.
func TestExampleWorkloadsAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/workloads/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, f := range files {
		if _, err := demo.ReadWorkload(f); err != nil {
			t.Error(err)
		}
	}
}

// TestPlay runs a short workload with two faults over loopback TCP.
func TestPlay(t *testing.T) {
	w, err := demo.ReadWorkload(write(t, `{"seconds": 3, "rate": 20, "faults": [
		{"kind": "box dies", "at_seconds": 0.5, "for_seconds": 1}, {"kind": "rank slow", "at_seconds": 1, "for_seconds": 1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	var log, out bytes.Buffer
	reports := 0
	r, err := demo.Play(t.Context(), w, 1, &log, func(string) { reports++ }, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Violation(); err != nil {
		t.Error(err)
	}
	r.Print(&out)
	if !strings.Contains(out.String(), "answered") || !strings.Contains(log.String(), "request answered") {
		t.Errorf("printed %q, logged %d bytes", out.String(), log.Len())
	}
	if reports == 0 {
		t.Error("Play reported no fault")
	}
}
