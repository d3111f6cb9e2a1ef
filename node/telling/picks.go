package telling

import (
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mesh"
)

// pickMemory is how old the counts that an asker had last may be: a longer time
// would hide a shift of demand behind what came before it.
const pickMemory = 3 * time.Second

// Picks turns an engine's running counts into what was chosen since each asker had
// them last, so that little has to be sent.
//
// Lock order: mu is the only lock.
type Picks struct {
	mu   sync.Mutex
	last map[domain.GroupName]map[int]counted // by the asker's group and rank
}

// Asker is who asks what was chosen: a rank of a group.
type Asker struct {
	Group domain.GroupName
	Rank  int
}

// counted are running counts at a time, of the engine that was born then.
type counted struct {
	at     time.Time
	born   domain.StartTime
	counts []uint64
}

// NewPicks returns picks of an engine that nobody asked yet.
func NewPicks() *Picks { return &Picks{last: map[domain.GroupName]map[int]counted{}} }

// Since gives what was chosen since the asker had the counts last; nil if that is
// not known. An engine that started again counts from zero; its counts may have grown past
// those of the start before, and then only its birth shows it.
func (p *Picks) Since(now time.Time, asker Asker, born domain.StartTime, counts []uint64) *mesh.Picked {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last[asker.Group] == nil {
		clear(p.last) // the rank is in another group now
		p.last[asker.Group] = map[int]counted{}
	}
	before := p.last[asker.Group][asker.Rank]
	p.last[asker.Group][asker.Rank] = counted{at: now, born: born, counts: counts}
	if len(before.counts) != len(counts) || before.born != born || now.Sub(before.at) > pickMemory {
		return nil
	}
	fresh := make([]uint64, len(counts))
	for i, n := range counts {
		if n < before.counts[i] {
			return nil
		}
		fresh[i] = n - before.counts[i]
	}
	return mesh.Pack(fresh)
}
