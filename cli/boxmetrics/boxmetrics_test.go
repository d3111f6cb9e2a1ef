package boxmetrics_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"clovertrail.dev/cli/boxmetrics"
	"clovertrail.dev/telemetry"
)

// value is one metric as a box sets it.
type value struct {
	name   telemetry.Name
	reason string
	v      float64
}

// TestFindings guards against an overload that status does not show, and against one shown in a box that is
// in order. The text is written by the code that boxes use.
func TestFindings(t *testing.T) {
	for name, tc := range map[string]struct {
		values []value
		want   string
	}{
		"in order": {[]value{{telemetry.ConcurrencyLimit, "g0", 1}, {telemetry.Queued, "s", 0}, {telemetry.StepSkew, "g0", 1.5}, {telemetry.SlowRanks, "g0", 0}}, "[]"},
		"a group at its limit": {[]value{{telemetry.ConcurrencyLimit, "g1", 0.75}, {telemetry.ConcurrencyLimit, "g0", 1}},
			"[{group g1 limits new callers to 0.75 of its slots}]"},
		"classes of two services": {[]value{{telemetry.Shed, "2/3", 9}, {telemetry.Shed, "10/12", 1}, {telemetry.Shed, "1/3", 2}, {telemetry.Shed, "9/12", 3}, {telemetry.Shed, "0/3", 0}},
			"[{services of 3 classes new callers refused since the box started, from class 1/3 on: 1/3 2 2/3 9} {services of 12 classes new callers refused since the box started, from class 9/12 on: 9/12 3 10/12 1}]"},
		"waiting requests": {[]value{{telemetry.Queued, "s", 4}, {telemetry.Queued, "r", 1}}, "[{service r 1 requests wait for a group to open} {service s 4 requests wait for a group to open}]"},
		"an uneven group with slow ranks": {[]value{{telemetry.SlowRanks, "g0", 2}, {telemetry.StepSkew, "g0", 2.25}},
			"[{group g0 has a skew of 2.25} {group g0 has 2 slow ranks}]"},
	} {
		t.Run(name, func(t *testing.T) {
			m, text := telemetry.NewMetrics(), bytes.Buffer{}
			m.Count(telemetry.Refusals, "no_target", 1)
			m.Observe(telemetry.FirstByte, "stream", 1)
			for _, v := range tc.values {
				if v.name == telemetry.Shed {
					m.Count(v.name, v.reason, int(v.v))
					continue
				}
				m.Set(v.name, v.reason, v.v)
			}
			m.Write(&text)
			got, err := boxmetrics.Read(&text)
			if err != nil || fmt.Sprint(got.Findings()) != tc.want {
				t.Errorf("got findings %v, error %v; want %s", got.Findings(), err, tc.want)
			}
		})
	}
}

// TestReadRejectsOtherTexts guards against a response of another server, or a damaged one, that is taken for that of a
// box in order.
func TestReadRejectsOtherTexts(t *testing.T) {
	for name, text := range map[string]string{
		"empty":                  "",
		"a page":                 "<html><body>404</body></html>\n",
		"metrics of others":      "go_threads 7\n",
		"a word as value":        "clovertrail_queued{reason=\"s\"} many\n",
		"no value":               "clovertrail_queued{reason=\"s\"}\n",
		"a value that is NaN":    "clovertrail_step_time_skew{reason=\"g0\"} NaN\n",
		"an infinite value":      "clovertrail_concurrency_limit{reason=\"g0\"} -Inf\n",
		"a negative value":       "clovertrail_slow_ranks{reason=\"g0\"} -1\n",
		"cut off within a label": "clovertrail_queued 1\nclovertrail_queued{reason=\"s",
		"too long":               "clovertrail_queued 1\n" + strings.Repeat("# comment\n", 1<<19),
	} {
		if _, err := boxmetrics.Read(strings.NewReader(text)); !boxmetrics.ErrInvalid.Has(err) {
			t.Errorf("%s: got error %v, want ErrInvalid", name, err)
		}
	}
}
