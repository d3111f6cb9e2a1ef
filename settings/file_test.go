package settings_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"clovertrail.dev/settings"
)

type changing struct {
	Box    string   `json:"box" required:"true"`
	Seeds  []string `json:"seeds"`
	Bounds struct {
		Stop settings.Duration `json:"stop" min:"1s" max:"1m"`
	} `json:"bounds"`
}

func changingDefaults() changing {
	c := changing{}
	c.Bounds.Stop = settings.Duration(8 * time.Second)
	return c
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestReloadAppliesChangedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	write(t, path, `{"box":"a","bounds":{"stop":"5s"}}`)
	f, err := settings.Open(path, changingDefaults)
	if err != nil {
		t.Fatal(err)
	}
	steps := []struct {
		name, text string
		fields     []string
		fails      bool
		stop       time.Duration
	}{
		{"unchanged", `{"box":"a","bounds":{"stop":"5s"}}`, nil, false, 5 * time.Second},
		{"two fields", `{"box":"a","seeds":["x"],"bounds":{"stop":"6s"}}`, []string{"seeds", "bounds.stop"}, false, 6 * time.Second},
		{"a mistake", `{"box":"a","bounds":{"stop":"6"}}`, nil, true, 6 * time.Second},
		{"the same mistake", `{"box":"a","bounds":{"stop":"6"}}`, nil, false, 6 * time.Second},
		{"corrected, a field back at its default", `{"box":"a","seeds":["x"]}`, []string{"bounds.stop"}, false, 8 * time.Second},
		{"only a comment", "{\"box\":\"a\",\"seeds\":[\"x\"]} // as before\n", nil, false, 8 * time.Second},
	}
	for _, tc := range steps {
		write(t, path, tc.text)
		fields, err := f.Reload()
		if (err != nil) != tc.fails || len(fields)+len(tc.fields) > 0 && !reflect.DeepEqual(fields, tc.fields) {
			t.Errorf("%s: changed fields %v, want %v, error %v", tc.name, fields, tc.fields, err)
		}
		if got := f.Current().Bounds.Stop.Std(); got != tc.stop {
			t.Errorf("%s: stop is %v, want %v", tc.name, got, tc.stop)
		}
	}
}

func TestReloadOfMissingFileKeepsSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	write(t, path, `{"box":"a"}`)
	f, err := settings.Open(path, changingDefaults)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if _, err := f.Reload(); err == nil || f.Current().Box != "a" {
		t.Errorf("error %v, box %q, want an error and box \"a\"", err, f.Current().Box)
	}
	if _, err := settings.Open(path, changingDefaults); err == nil {
		t.Error("a missing file was opened without an error")
	}
}
