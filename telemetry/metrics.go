package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"clovertrail.dev/core/fault"
)

// Name is the name of a counter, gauge or histogram. Its only label is reason; the comments
// below list its values.
type Name string

// The counters.
const (
	QueueOutcomes Name = "clovertrail_queue_outcomes_total"       // of requests that waited for a group; reason: "released", "left", or the waitqueue.Reason
	LongSteps     Name = "clovertrail_long_steps_total"           // reason: the group; steps that lasted much longer than usual
	BadReports    Name = "clovertrail_rank_reports_ignored_total" // reason: "slowdown" (not a positive number), "counts" (lower than before)
	InvalidCounts Name = "clovertrail_invalid_counts_total"       // reason: empty; numbers of requests of other boxes that no box can have
	Refusals      Name = "clovertrail_refusals_total"             // reason: the fault.Kind
	Retries       Name = "clovertrail_retries_total"              // reason: the fault.Kind
	Answers       Name = "clovertrail_answers_total"              // reason: "ok", "broken", "cut by the stop" (a planned stop of the box)
	Ejections     Name = "clovertrail_ejections_total"            // reason: "failure reports"
	PlatformCalls Name = "clovertrail_platform_calls_total"       // reason: the call, followed by " failed" if it failed
	ConfigApplied Name = "clovertrail_config_applied_total"       // reason: "store", or the peer that sent it
	MeshBytes     Name = "clovertrail_mesh_bytes_total"           // reason: "sent" or "received", and the call, of the calls that this process makes
	MapSwitches   Name = "clovertrail_map_switches_total"         // reason: the outcome of the change
	MovedExperts  Name = "clovertrail_experts_moved_total"        // reason: the group
	Quarantines   Name = "clovertrail_quarantines_total"          // reason: source ("own", "peer", "store"), "trial", "released", "lifted", "common cause" (released, since other targets ended too), or "not reported" (observations for which a message had no room)
	LostAttempts  Name = "clovertrail_lost_attempts_total"        // attempts whose target's process ended; reason: progress of the response, "none", "head" or "begun"
	UnframedEnds  Name = "clovertrail_unframed_ends_total"        // responses that ended with their connection; reason: "complete", or why the response counts as truncated
	ProcessChecks Name = "clovertrail_process_checks_total"       // of checks whether a target is alive; reason: "alive", "ended", "unproven", or "health check" (requests sent for them)
	Permits       Name = "clovertrail_permits_total"              // reason: "issuer", "own part" (fallback share), "none" (request without success)
	Suspensions   Name = "clovertrail_suspended_seconds_total"    // reason: empty; whole seconds, rounded up
	Shed          Name = "clovertrail_shed_total"                 // reason: the class of the refused caller, such as "1/3" for the second of three
	LinesDropped  Name = "clovertrail_log_lines_dropped_total"    // reason: "full" (the limit of the log), "output failed" (for example because nobody reads it)
)

// The gauges.
const (
	Queued           Name = "clovertrail_queued"            // requests that wait for a group to open; reason: the service
	SkewAge          Name = "clovertrail_skew_high_seconds" // reason: the group; time since the skew last exceeded 1.5, 0 while it does
	SlowRanks        Name = "clovertrail_slow_ranks"        // reason: the group
	ConfigSeq        Name = "clovertrail_config_seq"        // reason: empty
	StoreEra         Name = "clovertrail_store_era"         // reason: empty
	StepSkew         Name = "clovertrail_step_time_skew"    // reason: the group; maximum step time over mean
	ConcurrencyLimit Name = "clovertrail_concurrency_limit" // reason: the group; share of its slots, 1 while nothing is limited
)

// The histograms, in seconds.
const (
	FirstByte        Name = "clovertrail_first_byte_seconds"     // reason: the kind of route
	RequestTime      Name = "clovertrail_request_seconds"        // reason: the kind of route
	StreamPause      Name = "clovertrail_stream_pause_seconds"   // longest pause of a stream; reason: empty
	StoreCalls       Name = "clovertrail_store_call_seconds"     // reason: the call
	ProcessCheckTime Name = "clovertrail_process_check_seconds"  // reason: the result
	ShiftResponse    Name = "clovertrail_shift_response_seconds" // from the first long step after a shift until the map for it is in use; reason: the group
	OrderTime        Name = "clovertrail_engine_order_seconds"   // reason: the order
)

// Metrics holds the counters, gauges and histograms of a process.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns empty metrics with their own registry.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// series returns the name with its label in the Prometheus text format.
func series(name Name, reason string) string {
	if reason == "" {
		return string(name)
	}
	return fmt.Sprintf("%s{reason=%q}", name, reason)
}

// Count adds n to the counter for the reason.
func (m *Metrics) Count(name Name, reason string, n int) {
	m.set.GetOrCreateCounter(series(name, reason)).Add(n)
}

// Set sets the gauge for the reason.
func (m *Metrics) Set(name Name, reason string, v float64) {
	m.set.GetOrCreateGauge(series(name, reason), nil).Set(v)
}

// Observe adds d to the histogram for the reason.
func (m *Metrics) Observe(name Name, reason string, d time.Duration) {
	m.set.GetOrCreateHistogram(series(name, reason)).Update(d.Seconds())
}

// CountCall adds the bytes of the messages of a call to another process.
func (m *Metrics) CountCall(call string, sent, received int) {
	m.Count(MeshBytes, "sent "+call, sent)
	m.Count(MeshBytes, "received "+call, received)
}

// CountRefusal increments the counter of refusals for the kind.
func (m *Metrics) CountRefusal(k fault.Kind) { m.Count(Refusals, string(k), 1) }

// CountRetry increments the counter of retries for the kind of the failure.
func (m *Metrics) CountRetry(k fault.Kind) { m.Count(Retries, string(k), 1) }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }

// Handler serves the metrics for scraping, including memory, descriptors and processor time of the process.
func (m *Metrics) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.Write(w)
		metrics.WriteProcessMetrics(w)
		metrics.WriteFDMetrics(w)
	})
}

// Totals returns the values of a counter by reason.
func (m *Metrics) Totals(name Name) map[string]float64 {
	totals := map[string]float64{}
	for _, full := range m.set.ListMetricNames() {
		base, label, _ := strings.Cut(full, "{")
		if base != string(name) {
			continue
		}
		reason := strings.TrimSuffix(strings.TrimPrefix(label, `reason="`), `"}`)
		totals[reason] += float64(m.set.GetOrCreateCounter(full).Get())
	}
	return totals
}
