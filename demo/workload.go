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

// ErrWorkload marks a workload that is not right.
var ErrWorkload = errs.Class("workload")

// Workload is what a run is made of.
type Workload struct {
	// Seconds is how long requests come.
	Seconds int `json:"seconds"`
	// Rate is the mean number of requests a second, and Peak how many times as many come
	// in the middle third.
	Rate       float64 `json:"rate"`
	PeakFactor float64 `json:"peak"`
	// Mix is the share of requests of each kind.
	Mix map[string]float64 `json:"mix"`
	// Halls, Entries, Targets and Ranks are how many there are: data halls, entry boxes,
	// targets that stand alone, and ranks of the group.
	Halls, Entries, Targets, Ranks int
	// DemandShiftInterval is the time between two shifts of demand to other experts.
	DemandShiftInterval Seconds `json:"jump_seconds"`
	// Faults are what goes wrong.
	Faults []Fault `json:"faults"`
}

// Seconds is a time that a workload names in seconds.
type Seconds float64

// Duration gives it.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Fault is something that goes wrong at a time from the start, for so long.
type Fault struct {
	Kind  string  `json:"kind"`
	At    Seconds `json:"at_seconds"`
	For   Seconds `json:"for_seconds"`
	Index int     `json:"pick"` // which box, rank or hall
}

// DefaultWorkload is what the demonstration plays where no file is named: a peak, and one
// fault of each kind, spread over the run.
func DefaultWorkload() Workload {
	w := Workload{
		Seconds: 20, Rate: 40, PeakFactor: 2, Mix: map[string]float64{"once": 1, "again": 1, "stream": 1, "group": 5},
		Halls: 3, Entries: 6, Targets: 3, Ranks: 8, DemandShiftInterval: 5,
	}
	w.Faults = w.spread(slices.Sorted(maps.Keys(faults)))
	return w
}

// spread gives faults of the kinds, one after the other.
func (w Workload) spread(kinds []string) []Fault {
	var list []Fault
	each := float64(w.Seconds) / float64(len(kinds)+1)
	for i, k := range kinds {
		list = append(list, Fault{Kind: k, At: Seconds(each * (float64(i) + 0.5)), For: Seconds(each * 0.7), Index: i})
	}
	return list
}

// ReadWorkload reads a file of JSON with comments. What it does not name is as in
// DefaultWorkload, but for the faults.
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
	if err := w.check(); err != nil {
		return Workload{}, ErrWorkload.New("%s: %v", file, err)
	}
	return w, nil
}

func (w Workload) check() error {
	for _, x := range []struct {
		name string
		n    int
	}{{"seconds", w.Seconds}, {"halls", w.Halls}, {"entries", w.Entries}, {"targets", w.Targets}, {"ranks", w.Ranks}} {
		if x.n < 1 {
			return fmt.Errorf("%s: %d is not at least 1", x.name, x.n)
		}
	}
	if w.Rate <= 0 || w.PeakFactor <= 0 || w.DemandShiftInterval <= 0 {
		return fmt.Errorf("rate, peak and jump_seconds must be above 0")
	}
	for kind, share := range w.Mix {
		if _, ok := paths[kind]; !ok || share < 0 {
			return fmt.Errorf("mix: %q is not one of %s", kind, strings.Join(slices.Sorted(maps.Keys(paths)), ", "))
		}
	}
	for _, f := range w.Faults {
		if _, ok := faults[f.Kind]; !ok {
			return fmt.Errorf("faults: %q is not one of %s", f.Kind, strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
		}
	}
	return nil
}

// Shortened is the workload played in so many seconds, with its faults as much sooner.
func (w Workload) Shortened(seconds int) Workload {
	share := Seconds(float64(seconds) / float64(w.Seconds))
	w.Seconds = seconds
	w.Faults = slices.Clone(w.Faults)
	for i := range w.Faults {
		w.Faults[i].At *= share
		w.Faults[i].For *= share
	}
	return w
}
