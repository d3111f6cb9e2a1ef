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

// Result is how a run went.
//
// Lock order: mu is the only lock.
type Result struct {
	workload Workload
	shape    standin.GroupShape

	mu      sync.Mutex
	served  map[string]int // by kind
	asked   map[string]int
	wrong   []string // answers that were not the request's own
	back    int      // callers that were told to come back
	figures standin.Figures
	first   float64 // skew on the map that a group is formed with
	bound   float64
	report  *logs.Report
}

func newResult(w Workload, s standin.GroupShape) *Result {
	return &Result{workload: w, shape: s, served: map[string]int{}, asked: map[string]int{}}
}

func (r *Result) cameBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.back++
}

func (r *Result) add(kind string, reply standin.Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked[kind]++
	if reply.Right {
		r.served[kind]++
	}
	if reply.Wrong != "" {
		r.wrong = append(r.wrong, reply.Wrong)
	}
}

// end takes the figures of the group and what was logged.
func (r *Result) end(s *local.System, log *lines) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures = s.Group().Figures()
	r.first, r.bound = r.skews()
	log.mu.Lock()
	defer log.mu.Unlock()
	set, err := logs.Read(bytes.NewReader(log.kept.Bytes()))
	if err != nil {
		panic(err) // memory is always read
	}
	r.report = logs.NewReport(set)
}

// skews are the skew on the first map, and the least that any map allows. Shifts of
// demand change which experts are hot, not how hot they are.
func (r *Result) skews() (first, least float64) {
	s, load := r.shape, make(rebalance.Load, r.shape.Layers)
	dealt := make(rebalance.Map, s.Layers)
	for layer := range load {
		dealt[layer] = make([][]int, s.Ranks)
		for e := range s.Experts {
			load[layer] = append(load[layer], s.Demand(time.Time{}, layer, e))
			dealt[layer][e%s.Ranks] = append(dealt[layer][e%s.Ranks], e)
		}
	}
	shape := rebalance.Shape{Ranks: s.Ranks, Layers: s.Layers, Experts: s.Experts, Slots: s.Places}
	return rebalance.Planner{Shape: shape}.Plan(dealt, load).SkewBefore, rebalance.SkewLowerBound(shape, load)
}

// Broken is what must never be: a step on two maps, or an answer that was not the
// request's own.
func (r *Result) Broken() error {
	if r.figures.Broken != "" {
		return fmt.Errorf("a step was begun on two maps: %s", r.figures.Broken)
	}
	if len(r.wrong) > 0 {
		return fmt.Errorf("%d answers were not their requests' own, the first: %s", len(r.wrong), r.wrong[0])
	}
	return nil
}

// Print reports how the run went.
func (r *Result) Print(out io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printf(w, "\nREQUESTS\tASKED\tSERVED\n")
	for _, k := range slices.Sorted(maps.Keys(r.asked)) {
		printf(w, "%s\t%d\t%d\n", k, r.asked[k], r.served[k])
	}
	printf(w, "\nENDS, BY ATTEMPT OF A CALLER\t\n")
	for _, c := range r.report.Outcomes() {
		printf(w, "%s\t%d\n", c.Label(), c.N())
	}
	printf(w, "told to come back\t%d\n", r.back)
	first, pauses := r.report.FirstByte(), r.report.StreamPauses()
	printf(w, "\nMS\tP50\tP95\tP99\n")
	printf(w, "until an answer began\t%d\t%d\t%d\n", first.P50.Milliseconds(), first.P95.Milliseconds(), first.P99.Milliseconds())
	printf(w, "longest pause of a stream\t%d\t%d\t%d\n", pauses.P50.Milliseconds(), pauses.P95.Milliseconds(), pauses.P99.Milliseconds())
	_ = w.Flush() // a closed terminal ends nothing
	f := r.figures
	printf(out, "\nThe group of %d ranks: load of the hottest over that of even ranks %.2f on average over %d steps;\n", r.shape.Ranks, f.Skew, f.Steps)
	printf(out, "with its first map kept it would be %.2f, and no map can be under %.2f with %d places a rank.\n", r.first, r.bound, r.shape.Places)
	printf(out, "For that %d experts were copied and maps changed (%s); held %v.\n", f.Copies, changes(r.report), f.HeldFor.Round(time.Millisecond))
}

func changes(r *logs.Report) string {
	text := ""
	for _, c := range r.MapChanges() {
		text += fmt.Sprintf("%d %s, ", c.N(), c.Label())
	}
	if text == "" {
		return "never"
	}
	return text[:len(text)-2]
}

func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...) // a closed terminal ends nothing
}

// PrintAddresses reports how to reach a system that stays up.
func PrintAddresses(out io.Writer, s *local.System) {
	e := s.Entries()[0]
	printf(out, "\nThe system stays up; end it with Ctrl-C. Try:\n")
	printf(out, "  curl -N -H 'Host: %s' -H 'Request-Id: 1' -H 'Authorization: Bearer %s' %s%s\n", standin.Host, key, e.URL(), paths["group"])
	printf(out, "  curl %s\n", e.MetricsURL())
	printf(out, "  go run ./cmd/clovertrail status --store %s\n", s.StoreAddress())
}
