package demo

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"clovertrail.dev/cli/logs"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// Result holds the results of a run of a workload.
//
// Lock order: mu is the only lock.
type Result struct {
	workload Workload
	shape    standin.GroupShape

	mu           sync.Mutex
	served       map[string]int // complete replies, by kind of request
	sent         map[string]int
	wrongReplies []string // replies that belong to another request or are damaged
	retriedLater int      // callers that retried at the time stated in a refusal
	figures      standin.Stats
	firstSkew    float64 // skew with the map that a group is formed with
	skewBound    float64
	report       *logs.Report
}

func newResult(w Workload, s standin.GroupShape) *Result {
	return &Result{workload: w, shape: s, served: map[string]int{}, sent: map[string]int{}}
}

func (r *Result) addRetry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retriedLater++
}

func (r *Result) add(kind string, reply standin.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[kind]++
	if reply.Correct {
		r.served[kind]++
	}
	if reply.Mismatch != "" {
		r.wrongReplies = append(r.wrongReplies, reply.Mismatch)
	}
}

// collect takes the figures of the group and the report on the log lines.
func (r *Result) collect(s *local.System, log *logBuffer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures = s.Group().Stats()
	r.firstSkew, r.skewBound = r.skews()
	log.mu.Lock()
	defer log.mu.Unlock()
	set, err := logs.Read(bytes.NewReader(log.text.Bytes()))
	if err != nil {
		panic(err) // reading from memory does not fail
	}
	r.report = logs.NewReport(set)
}

// skews returns the skew with the first map, and the lower bound of the skew with any map. Both
// hold throughout: shifts of demand change which experts are hot, not how hot they are.
func (r *Result) skews() (first, least float64) {
	s, load := r.shape, make(rebalance.Load, r.shape.Layers)
	initial := make(rebalance.Map, s.Layers)
	for layer := range load {
		initial[layer] = make([][]int, s.Ranks)
		for e := range s.Experts {
			load[layer] = append(load[layer], s.Demand(time.Time{}, layer, e))
			initial[layer][e%s.Ranks] = append(initial[layer][e%s.Ranks], e)
		}
	}
	shape := rebalance.Shape{Ranks: s.Ranks, Layers: s.Layers, Experts: s.Experts, Slots: s.Slots}
	return rebalance.Planner{Shape: shape}.Plan(initial, load).SkewBefore, rebalance.SkewLowerBound(shape, load)
}

// Violation returns an error if an invariant was violated: a step ran on two maps, or a reply
// was not the answer to its own request.
func (r *Result) Violation() error {
	if r.figures.Violation != "" {
		return fmt.Errorf("ranks began a step on two maps: %s", r.figures.Violation)
	}
	if len(r.wrongReplies) > 0 {
		return fmt.Errorf("%d responses belong to other requests or are damaged, the first: %s", len(r.wrongReplies), r.wrongReplies[0])
	}
	return nil
}

// Print writes the results as text.
func (r *Result) Print(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "\nREQUESTS\tASKED\tSERVED\n")
	for _, k := range slices.Sorted(maps.Keys(r.sent)) {
		printf(w, "%s\t%d\t%d\n", k, r.sent[k], r.served[k])
	}
	printf(w, "\nENDS, BY ATTEMPT OF A CALLER\t\n")
	for _, c := range r.report.Outcomes() {
		printf(w, "%s\t%d\n", c.Label(), c.N())
	}
	printf(w, "retried at the stated time\t%d\n", r.retriedLater)
	first, pauses := r.report.FirstByte(), r.report.StreamPauses()
	printf(w, "\nMS\tP50\tP95\tP99\n")
	printf(w, "time to first byte\t%d\t%d\t%d\n", first.P50.Milliseconds(), first.P95.Milliseconds(), first.P99.Milliseconds())
	printf(w, "longest pause of a stream\t%d\t%d\t%d\n", pauses.P50.Milliseconds(), pauses.P95.Milliseconds(), pauses.P99.Milliseconds())
	_ = w.Flush() // output to a closed terminal is dropped
	f := r.figures
	printf(out, "\nGroup of %d ranks: mean skew %.2f (load of the hottest ranks relative to evenly loaded ranks) over %d steps.\n", r.shape.Ranks, f.Skew, f.Steps)
	printf(out, "With its first map throughout the skew would be %.2f; its lower bound for any map is %.2f with %d slots per rank and layer.\n", r.firstSkew, r.skewBound, r.shape.Slots)
	printf(out, "Cost: %d experts copied; map changes: %s; steps held for %v in total.\n", f.Copies, changes(r.report), f.HoldTime.Round(time.Millisecond))
}

func changes(r *logs.Report) string {
	text := ""
	for _, c := range r.MapChanges() {
		text += fmt.Sprintf("%d %s, ", c.N(), c.Label())
	}
	if text == "" {
		return "none"
	}
	return text[:len(text)-2]
}

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...) // output to a closed terminal is dropped
}

// PrintAddresses writes commands that reach a running system.
func PrintAddresses(out io.Writer, s *local.System) {
	e := s.Entries()[0]
	printf(out, "\nThe system keeps running; stop it with Ctrl-C. Try:\n")
	printf(out, "  curl -N -H 'Host: %s' -H 'Request-Id: 1' -H 'Authorization: Bearer %s' %s%s\n", standin.Host, apiKey, e.URL(), paths["group"])
	printf(out, "  curl %s\n", e.MetricsURL())
	printf(out, "  go run ./cmd/clovertrail status --store %s\n", s.StoreAddress())
}
