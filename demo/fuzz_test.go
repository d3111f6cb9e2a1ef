package demo_test

import (
	"os"
	"path/filepath"
	"testing"

	"clovertrail.dev/demo"
)

// FuzzReadWorkload reads any bytes as a workload file: reading fails, or returns a workload that
// does not last a negative time.
func FuzzReadWorkload(f *testing.F) {
	files, err := filepath.Glob("../examples/workloads/*")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(`{"seconds": -1}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file := filepath.Join(t.TempDir(), "workload.json")
		if err := os.WriteFile(file, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		w, err := demo.ReadWorkload(file)
		if err == nil && w.Shortened(1).Seconds < 0 {
			t.Errorf("%q: workload shortened to 1 s lasts a negative time; read as %d s", raw, w.Seconds)
		}
	})
}
