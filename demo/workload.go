package demo

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
	"github.com/zeebo/errs"
)

// ErrWorkload is the class of errors of workloads that cannot be read or are invalid.
var ErrWorkload = errs.Class("workload")

// Workload describes a run of the demonstration. Its fields are read from a workload file.
type Workload struct {
	// Seconds is the time for which requests are sent.
	Seconds int `json:"seconds"`
	// Rate is the mean number of requests a second. In the middle third of the run it is
	// PeakFactor times as high.
	Rate       float64 `json:"rate"`
	PeakFactor float64 `json:"peak"`
	// Mix holds the relative share of each kind of request.
	Mix map[string]float64 `json:"mix"`
	// Halls, Entries, Targets and Ranks are the numbers of data halls, entry boxes, targets
	// that belong to no group, and ranks of the group.
	Halls, Entries, Targets, Ranks int
	// DemandShiftInterval is the time between two shifts of demand to other experts.
	DemandShiftInterval Seconds `json:"jump_seconds"`
	// Faults lists the faults with their times.
	Faults []Fault `json:"faults"`
}

// Seconds is a duration in seconds, as workload files state it.
type Seconds float64

// Duration converts the seconds to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Fault is a fault that starts at the time At after the start of the run and lasts for the time For.
type Fault struct {
	Kind  string  `json:"kind"`
	At    Seconds `json:"at_seconds"`
	For   Seconds `json:"for_seconds"`
	Index int     `json:"pick"` // index of the affected box, target, rank or pair of halls
}

// DefaultWorkload returns the workload of the demonstration without a workload file: a peak, and
// one fault of each kind, spread over the run.
func DefaultWorkload() Workload {
	w := Workload{
		Seconds: 20, Rate: 40, PeakFactor: 2, Mix: map[string]float64{"once": 1, "again": 1, "stream": 1, "group": 5},
		Halls: 3, Entries: 6, Targets: 3, Ranks: 8, DemandShiftInterval: 5,
	}
	w.Faults = w.spreadFaults(slices.Sorted(maps.Keys(faultKinds)))
	return w
}

// spreadFaults returns one fault of each kind, in order and evenly spread over the run.
func (w Workload) spreadFaults(kinds []string) []Fault {
	var list []Fault
	each := float64(w.Seconds) / float64(len(kinds)+1)
	for i, k := range kinds {
		list = append(list, Fault{Kind: k, At: Seconds(each * (float64(i) + 0.5)), For: Seconds(each * 0.7), Index: i})
	}
	return list
}

// ReadWorkload reads a file of JSON with comments. Fields that are absent are as in
// DefaultWorkload, but without faults.
func ReadWorkload(file string) (Workload, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Workload{}, ErrWorkload.Wrap(err)
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return Workload{}, ErrWorkload.New("%s: %v", file, err)
	}
	w := DefaultWorkload()
	w.Faults, w.Mix = nil, nil
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(&w); err != nil {
		return Workload{}, ErrWorkload.New("%s: %v", file, err)
	}
	if len(w.Mix) == 0 {
		w.Mix = DefaultWorkload().Mix
	}
	if err := w.validate(); err != nil {
		return Workload{}, ErrWorkload.New("%s: %v", file, err)
	}
	return w, nil
}

func (w Workload) validate() error {
	for _, x := range []struct {
		name string
		n    int
	}{{"seconds", w.Seconds}, {"halls", w.Halls}, {"entries", w.Entries}, {"targets", w.Targets}, {"ranks", w.Ranks}} {
		if x.n < 1 {
			return fmt.Errorf("%s must be at least 1, got %d", x.name, x.n)
		}
	}
	if w.Rate <= 0 || w.PeakFactor <= 0 || w.DemandShiftInterval <= 0 {
		return fmt.Errorf("rate, peak and jump_seconds must be above 0, got %v, %v and %v", w.Rate, w.PeakFactor, w.DemandShiftInterval)
	}
	for kind, share := range w.Mix {
		if _, ok := paths[kind]; !ok || share < 0 {
			return fmt.Errorf("mix: invalid kind or share, %q: %v; kinds are %s, and shares must not be negative", kind, share, strings.Join(slices.Sorted(maps.Keys(paths)), ", "))
		}
	}
	for _, f := range w.Faults {
		if _, ok := faultKinds[f.Kind]; !ok {
			return fmt.Errorf("faults: unknown kind %q, must be one of %s", f.Kind, strings.Join(slices.Sorted(maps.Keys(faultKinds)), ", "))
		}
	}
	return nil
}

// Shortened returns the workload with the given length in seconds. The times of its faults are
// scaled by the same factor.
func (w Workload) Shortened(seconds int) Workload {
	scale := Seconds(float64(seconds) / float64(w.Seconds))
	w.Seconds = seconds
	w.Faults = slices.Clone(w.Faults)
	for i := range w.Faults {
		w.Faults[i].At *= scale
		w.Faults[i].For *= scale
	}
	return w
}
