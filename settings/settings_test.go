package settings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"clovertrail.dev/settings"
)

type limits struct {
	Body int `json:"body_bytes" min:"1" max:"1000"`
}

type example struct {
	Listen string            `json:"listen" required:"true"`
	Round  settings.Duration `json:"round" min:"100ms" max:"10s"`
	Mode   string            `json:"mode" oneof:"fast,slow"`
	Peers  []string          `json:"peers"`
	Limits limits            `json:"limits"`
}

func defaults() example {
	return example{Round: settings.Duration(time.Second), Mode: "fast", Limits: limits{Body: 10}}
}

func TestParse(t *testing.T) {
	tests := []struct {
		name, text string
		line       int
		field      string
		wantText   string // part of the error text; empty for a valid file
	}{
		{"comments and a trailing comma", "{\n// where\n\"listen\": \":1\",\n}", 0, "", ""},
		{"nested", `{"listen":":1","limits":{"body_bytes":20}}`, 0, "", ""},
		{"unknown field", "{\n\"listen\":\":1\",\n\"colour\":1}", 3, "colour", "allowed here: limits, listen"},
		{"unknown nested field", "{\"listen\":\":1\",\n\"limits\":{\"x\":1}}", 2, "limits.x", "unknown field"},
		{"no unit", "{\n\"listen\":\":1\",\n\n\"round\": 3}", 4, "round", `a unit such as "250ms"`},
		{"wrong unit", "{\"listen\":\":1\",\n\"round\": \"3 parsec\"}", 2, "round", "from 100ms to 10s"},
		{"too long", "{\"listen\":\":1\",\n\"round\": \"1h\"}", 2, "round", "from 100ms to 10s"},
		{"too large", "{\"listen\":\":1\",\n\"limits\":{\n\"body_bytes\":2000}}", 3, "limits.body_bytes", "from 1 to 1000"},
		{"not in the list", "{\"listen\":\":1\",\"mode\":\"odd\"}", 1, "mode", "one of fast, slow"},
		{"wrong type", "{\"listen\":7}", 1, "listen", "want a string"},
		{"duplicate field", "{\"listen\":\":1\",\n\"listen\":\":2\"}", 2, "listen", "duplicate"},
		{"missing", "{}", 0, "listen", "missing"},
		{"syntax", "{\n\"listen\": :1}", 2, "", "invalid JSON"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := defaults()
			err := settings.Parse("f.json", []byte(tc.text), &s)
			if tc.wantText == "" {
				if err != nil || s.Listen != ":1" || s.Mode != "fast" {
					t.Fatalf("got %+v, %v", s, err)
				}
				return
			}
			var e *settings.Error
			if !errors.As(err, &e) {
				t.Fatalf("got %v", err)
			}
			if e.Line() != tc.line || e.Field() != tc.field || !strings.Contains(e.Error(), tc.wantText) {
				t.Errorf("got %q (line %d, field %q), want line %d, field %q, %q", e, e.Line(), e.Field(), tc.line, tc.field, tc.wantText)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"listen":":1","limits":{"body_bytes":20}}`))
	f.Add([]byte("{/* c */ \"round\":\"1s\",}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := defaults()
		err := settings.Parse("f.json", raw, &s)
		if err == nil && (s.Listen == "" || s.Round < settings.Duration(100*time.Millisecond)) {
			t.Errorf("accepted %q as %+v", raw, s)
		}
	})
}
