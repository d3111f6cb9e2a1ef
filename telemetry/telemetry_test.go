package telemetry_test

import (
	"bytes"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"clovertrail.dev/core/fault"
	"clovertrail.dev/telemetry"
)

func TestEveryRefusalKindIsCounted(t *testing.T) {
	m := telemetry.NewMetrics()
	for _, k := range fault.Kinds() {
		m.CountRefusal(k)
	}
	totals := m.Totals(telemetry.Refusals)
	for _, k := range fault.Kinds() {
		if totals[string(k)] != 1 {
			t.Errorf("%s counted %v times", k, totals[string(k)])
		}
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body, _ := io.ReadAll(w.Body)
	if !strings.Contains(string(body), `clovertrail_refusals_total{reason="no_target"} 1`) {
		t.Errorf("scrape lacks the counter:\n%s", body)
	}
}

func TestOneLineAnEvent(t *testing.T) {
	var out bytes.Buffer
	c := telemetry.New(&out, "entry-1")
	c.Log.Info("started", "address", "127.0.0.1:1", "note", "two\nlines")
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.Contains(line, "box=entry-1 address=127.0.0.1:1") {
		t.Errorf("got %q", line)
	}
}
