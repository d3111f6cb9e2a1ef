package settings_test

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"clovertrail.dev/settings"
)

// TestLenientParseReplacesMistakes guards against a process that does not start because of one value that it could do without.
func TestLenientParseReplacesMistakes(t *testing.T) {
	tests := []struct {
		name, text string
		round      time.Duration
		body       int
		mode       string
		ignored    string // part of the text of the mistake that is ignored; empty for none
		fails      string // part of the text of the error; empty for none
	}{
		{"valid", `{"listen":":1","round":"2s"}`, 2 * time.Second, 10, "fast", "", ""},
		{"null", `{"listen":":1","round":null,"limits":{"body_bytes":null}}`, time.Second, 10, "fast", "", ""},
		{"zero duration", `{"listen":":1","round":"0ms"}`, time.Second, 10, "fast", "round", ""},
		{"duration below its least value", `{"listen":":1","round":"0.5ms"}`, 100 * time.Millisecond, 10, "fast", "round", ""},
		{"negative duration", `{"listen":":1","round":"-3s"}`, 100 * time.Millisecond, 10, "fast", "round", ""},
		{"duration above its greatest value", `{"listen":":1","round":"1h"}`, 10 * time.Second, 10, "fast", "round", ""},
		{"no duration", `{"listen":":1","round":"trues"}`, time.Second, 10, "fast", "round", ""},
		{"zero number", `{"listen":":1","limits":{"body_bytes":0}}`, time.Second, 10, "fast", "limits.body_bytes", ""},
		{"number above its greatest value", `{"listen":":1","limits":{"body_bytes":2000}}`, time.Second, 1000, "fast", "limits.body_bytes", ""},
		{"fraction for a whole number", `{"listen":":1","limits":{"body_bytes":1.5}}`, time.Second, 10, "fast", "limits.body_bytes", ""},
		{"number too large", `{"listen":":1","limits":{"body_bytes":1e400}}`, time.Second, 10, "fast", "limits.body_bytes", ""},
		{"not in the list", `{"listen":":1","mode":"odd"}`, time.Second, 10, "fast", "mode", ""},
		{"unknown field", `{"listen":":1","colour":1,"round":"2s"}`, 2 * time.Second, 10, "fast", "colour", ""},
		{"missing required field", `{"round":"2s"}`, 2 * time.Second, 10, "fast", "", "listen: missing"},
		{"invalid required field", `{"listen":7}`, time.Second, 10, "fast", "", "listen: want a string"},
		{"syntax", `{"listen"::1}`, time.Second, 10, "fast", "", "invalid JSON"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := defaults()
			ignored, err := settings.ParseLenient("f.json", []byte(tc.text), &s, defaults())
			checkText(t, "error", err, tc.fails)
			checkText(t, "ignored mistake", errors.Join(ignored...), tc.ignored)
			if s.Round.Std() != tc.round || s.Limits.Body != tc.body || s.Mode != tc.mode {
				t.Errorf("got %+v, want round %v, body_bytes %d, mode %s", s, tc.round, tc.body, tc.mode)
			}
		})
	}
}

// checkText expects an error whose text contains want, or none if that is empty.
func checkText(t *testing.T, what string, err error, want string) {
	t.Helper()
	if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
		t.Errorf("%s: got %v, want %q", what, err, want)
	}
}

// TestLenientReloadAppliesOtherFields guards against settings that do not come into force because of a mistake that stood beside them from
// the start.
func TestLenientReloadAppliesOtherFields(t *testing.T) {
	path := filepath.Join(t.TempDir(), "entry.json")
	write(t, path, `{"box":"a","seeds":["x"],"bounds":{"stop":"0s"}}`)
	f, ignored, err := settings.OpenLenient(path, changingDefaults)
	if err != nil || len(ignored) != 1 {
		t.Fatalf("got ignored mistakes %v, error %v, want one and none", ignored, err)
	}
	for _, tc := range []struct {
		text, seed string
		stop       time.Duration
		fails      bool
	}{
		{`{"box":"a","seeds":["y"],"bounds":{"stop":"0s"}}`, "y", 8 * time.Second, true},
		{`{"box":"a","seeds":["y"],"bounds":{"stop":"6s"}}`, "y", 6 * time.Second, false},
		{`{"box":"a","seeds":["z"],"bounds":{"stop":"odd"}}`, "z", 6 * time.Second, true},
		{`{"seeds":["v"]}`, "z", 6 * time.Second, true},
	} {
		write(t, path, tc.text)
		_, err := f.Reload()
		s := f.Current()
		if s.Seeds[0] != tc.seed || s.Bounds.Stop.Std() != tc.stop || (err != nil) != tc.fails {
			t.Errorf("%s: got seeds %v, stop %v, error %v, want %s, %v", tc.text, s.Seeds, s.Bounds.Stop, err, tc.seed, tc.stop)
		}
	}
}
