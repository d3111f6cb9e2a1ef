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

func TestMetricsCountEachRefusalKind(t *testing.T) {
	m := telemetry.NewMetrics()
	for _, k := range fault.Kinds() {
		m.CountRefusal(k)
	}
	totals := m.Totals(telemetry.Refusals)
	for _, k := range fault.Kinds() {
		if totals[string(k)] != 1 {
			t.Errorf("%s: counted %v times, want 1", k, totals[string(k)])
		}
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body, _ := io.ReadAll(w.Body)
	if !strings.Contains(string(body), `clovertrail_refusals_total{reason="no_target"} 1`) {
		t.Errorf("the scrape lacks the counter of refusals for no_target:\n%s", body)
	}
}

func TestLogWritesOneLinePerEvent(t *testing.T) {
	var out bytes.Buffer
	c := telemetry.New(&out, "entry-1")
	c.Log.Info("started", "address", "127.0.0.1:1", "note", "two\nlines")
	line := out.String()
	if strings.Count(line, "\n") != 1 || !strings.Contains(line, "box=entry-1 address=127.0.0.1:1") {
		t.Errorf("got %q, want a single line with box and address", line)
	}
}

// TestMetricsHaveThoseOfProcess guards against ends of a process for its memory or descriptors that no metric announces.
func TestMetricsHaveThoseOfProcess(t *testing.T) {
	w := httptest.NewRecorder()
	telemetry.NewMetrics().Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, name := range []string{"process_resident_memory_bytes", "process_open_fds", "process_max_fds"} {
		if !strings.Contains(w.Body.String(), name+" ") {
			t.Errorf("%s is missing in\n%s", name, w.Body)
		}
	}
}
