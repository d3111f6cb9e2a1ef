package distribution

import (
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
)

// maxSampleAge bounds the time since a requester's previous request for which an increase is
// computed: over a longer time, counts from before a shift in demand would hide the shift.
const maxSampleAge = 3 * time.Second

// CountDeltas converts the running counts of an engine's selected experts into their increase
// since the previous request of each requester, so that responses are short.
//
// Lock order: mu is the only lock.
type CountDeltas struct {
	mu   sync.Mutex
	last map[domain.GroupName]map[int]countSample // sample of the previous request, by the requester's group and rank
	// reversals is the number of requests at which the engine had started again, or a count was lower
	// than before.
	reversals int
}

// Requester identifies the coordinator that requests counts, by its group and rank.
type Requester struct {
	Group domain.GroupName
	Rank  int
}

// countSample holds the running counts of an engine at one time.
type countSample struct {
	at     time.Time
	born   domain.StartTime // start of the engine's process
	counts []uint64
}

// NewCountDeltas returns the state of an agent that has served no requests for counts.
func NewCountDeltas() *CountDeltas {
	return &CountDeltas{last: map[domain.GroupName]map[int]countSample{}}
}

// Since returns the increase of the counts since the requester's previous request; nil if it
// cannot be computed, as for a first request, after a restart of the engine or after
// maxSampleAge. A restarted engine counts from zero. Its counts may have grown past those of the
// previous process, and then only the changed start time shows the restart.
func (d *CountDeltas) Since(now time.Time, requester Requester, born domain.StartTime, counts []uint64) *mesh.ExpertCounts {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last[requester.Group] == nil {
		clear(d.last) // the rank is in another group now
		d.last[requester.Group] = map[int]countSample{}
	}
	before := d.last[requester.Group][requester.Rank]
	d.last[requester.Group][requester.Rank] = countSample{at: now, born: born, counts: counts}
	if len(before.counts) == len(counts) && before.born != born {
		d.reversals++
	}
	if len(before.counts) != len(counts) || before.born != born || now.Sub(before.at) > maxSampleAge {
		return nil
	}
	deltas := make([]uint64, len(counts))
	for i, n := range counts {
		if n < before.counts[i] {
			d.reversals++
			return nil
		}
		deltas[i] = n - before.counts[i]
	}
	return mesh.NewExpertCounts(deltas)
}

// TakeReversals returns the number of requests since the last call at which the engine had started
// again, or a count was lower than before.
func (d *CountDeltas) TakeReversals() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.reversals
	d.reversals = 0
	return n
}
