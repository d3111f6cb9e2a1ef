package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evacuationBound is the time, from the settings of the boxes, after which no new work may reach the
	// targets of an evacuated hall.
	evacuationBound = 2 * time.Second
	// evacuationDuration is the time for which a hall is evacuated, and maxEvacuationPause the longest pause
	// before the next evacuation.
	evacuationDuration, maxEvacuationPause = 7 * time.Second, 2 * time.Second
)

// evacuation is a period in which a hall was evacuated.
type evacuation struct {
	hall     string
	from, to time.Time // to is zero while it goes on
}

// runEvacuations evacuates one of the halls, drawn at random, repeatedly. It ends with ctx, or when too
// little time is left before until.
func (e *environment) runEvacuations(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 7))
	for time.Now().Add(evacuationDuration).Before(until) && ctx.Err() == nil {
		hall := hallName(r.IntN(2))
		e.setEvacuated(hall)
		began := e.recorder.beginEvacuation(hall)
		time.Sleep(evacuationDuration)
		e.recorder.endEvacuation(began)
		e.setEvacuated("")
		time.Sleep(time.Duration(r.Int64N(int64(maxEvacuationPause))))
	}
}

// setEvacuated makes the operator evacuate the hall and end any other evacuation; the name is empty for
// none.
func (e *environment) setEvacuated(hall string) {
	e.mu.Lock()
	e.evacuated = hall
	e.mu.Unlock()
	e.writeEvacuations()
}

// writeEvacuations writes the evacuations to the store as the operator wants them, as after a restore.
func (e *environment) writeEvacuations() {
	e.mu.Lock()
	hall := e.evacuated
	e.mu.Unlock()
	for _, other := range e.store.Names("evacuations") {
		if other != hall {
			e.store.Remove("evacuations", other)
		}
	}
	if hall != "" {
		_ = e.store.PutIfChanged("evacuations", hall, map[string]any{}) // the store accepts every object of the soak
	}
}

// beginEvacuation records the start of an evacuation and returns its index.
func (rec *recorder) beginEvacuation(hall string) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.evacuations = append(rec.evacuations, evacuation{hall: hall, from: time.Now()})
	return len(rec.evacuations) - 1
}

// endEvacuation records that the evacuation of the index is about to be ended.
func (rec *recorder) endEvacuation(index int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.evacuations[index].to = time.Now()
}

// markHall records the hall of a target.
func (rec *recorder) markHall(target, hall string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.hallOf[target] = hall
}

// isEvacuatedAt reports whether boxes may count a hall as evacuated at the time.
func (rec *recorder) isEvacuatedAt(at time.Time) bool {
	return slices.ContainsFunc(rec.evacuations, func(v evacuation) bool {
		return at.After(v.from) && (v.to.IsZero() || at.Before(v.to.Add(contactBound)))
	})
}

// checkEvacuations reports requests that reached a target after the bound on the evacuation of its hall had
// passed, and before the end of the evacuation, from a box that no fault affected.
func (rec *recorder) checkEvacuations(ex exchange, violate violationFunc) {
	for _, r := range rec.runs[ex.request.ID] {
		for _, v := range rec.evacuations {
			late := v.hall == rec.hallOf[r.Target] && r.At.After(v.from.Add(evacuationBound+timingSlack)) && r.At.Before(v.to)
			if late && rec.faultFree(ex.box, v.from, r.At, scopeBox, scopeBoxStore, scopeStore) {
				violate("evacuation", "request %s to %s ran on %s %v after the evacuation of %s", ex.request.ID, ex.box, r.Target, r.At.Sub(v.from), v.hall)
			}
		}
	}
}
