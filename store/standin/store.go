// Package standin is an implementation of store.Store in memory, for tests,
// the demonstration and the embedded system. It is not the platform: it keeps
// nothing after its process ends.
//
// It enforces the platform's rates, counts each call, and can be made slow,
// down, stale, deaf to watches, or to lose the answer to a write.
//
// # Usage
//
//	store := standin.New(standin.Limits{WritesPerSecond: 100, ReadsPerSecond: 2000})
//	store.SetFaults(standin.Faults{LoseAnswerEvery: 3})
//	store.SetBox(domain.NewEntryBox("entry-1", "hall-1", "127.0.0.1:7000", 1))
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// Limits are the platform's rates; zero means no limit.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Faults are what goes wrong from now on.
type Faults struct {
	// Down refuses every call.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswerEvery loses the answer to every n-th write after it was made.
	LoseAnswerEvery int
	// StaleReads makes Get answer with the value before the last one.
	StaleReads bool
	// DeafWatches makes Watch wait until its context ends.
	DeafWatches bool
	// FrozenBoxes makes Boxes answer with the list as it was when set.
	FrozenBoxes bool
}

// Counts says how many calls were made and refused.
type Counts struct {
	Reads, Writes, Watches, Refused int
}

// Store is the stand-in. Its methods may be called from any goroutine.
//
// Lock order: mu is the only lock.
type Store struct {
	mu        sync.Mutex
	objects   map[string]versioned
	previous  map[string]versioned
	version   store.Version
	changed   chan struct{} // closed and replaced at every write
	boxes     map[domain.BoxID]domain.Box
	boxesVer  store.Version
	frozen    store.Boxes
	faults    Faults
	counts    Counts
	reads     bucket
	writes    bucket
	writeSeen int
}

type versioned struct {
	value   []byte
	version store.Version
	deleted bool
}

// New returns an empty store with the given rates.
func New(l Limits) *Store {
	return &Store{
		objects:  map[string]versioned{},
		previous: map[string]versioned{},
		changed:  make(chan struct{}),
		boxes:    map[domain.BoxID]domain.Box{},
		reads:    bucket{rate: l.ReadsPerSecond},
		writes:   bucket{rate: l.WritesPerSecond},
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.FrozenBoxes && !s.faults.FrozenBoxes {
		s.frozen = s.boxList()
	}
	s.faults = f
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetBox adds or replaces a box of the list.
func (s *Store) SetBox(b domain.Box) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxes[b.ID()] = b
	s.boxesVer++
}

// RemoveBox takes a box off the list.
func (s *Store) RemoveBox(id domain.BoxID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.boxes, id)
	s.boxesVer++
}

// Boxes implements store.BoxLister.
func (s *Store) Boxes(ctx context.Context) (store.Boxes, error) {
	if err := s.admitRead(ctx); err != nil {
		return store.Boxes{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.FrozenBoxes {
		return s.frozen, nil
	}
	return s.boxList(), nil
}

func (s *Store) boxList() store.Boxes {
	list := make([]domain.Box, 0, len(s.boxes))
	for _, b := range s.boxes {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID() < list[j].ID() })
	return store.NewBoxes(s.boxesVer, list)
}

// Get implements store.Reader.
func (s *Store) Get(ctx context.Context, key string) (store.Object, error) {
	if err := s.admitRead(ctx); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.StaleReads {
		return found(key, s.previous[key])
	}
	return found(key, s.objects[key])
}

func found(key string, v versioned) (store.Object, error) {
	if v.version == 0 || v.deleted {
		return store.Object{}, store.ErrNotFound
	}
	return store.NewObject(key, v.value, v.version), nil
}

// List implements store.Reader.
func (s *Store) List(ctx context.Context, prefix string) ([]store.Object, error) {
	if err := s.admitRead(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []store.Object
	for k, v := range s.objects {
		if strings.HasPrefix(k, prefix) && !v.deleted {
			list = append(list, store.NewObject(k, v.value, v.version))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key() < list[j].Key() })
	return list, nil
}

// Watch implements store.Reader.
func (s *Store) Watch(ctx context.Context, key string, since store.Version) (store.Object, error) {
	if err := s.admitRead(ctx); err != nil {
		return store.Object{}, err
	}
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		v, changed, f := s.objects[key], s.changed, s.faults
		s.mu.Unlock()
		if f.Down {
			return store.Object{}, store.ErrUnavailable
		}
		if v.version > since && !f.DeafWatches {
			return found(key, v)
		}
		select {
		case <-ctx.Done():
			return store.Object{}, ctx.Err()
		case <-changed:
		}
	}
}

// Put implements store.Writer.
func (s *Store) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return 0, store.ErrTooLarge
	}
	return s.write(ctx, key, versioned{value: append([]byte(nil), value...)}, expect)
}

// Delete implements store.Writer.
func (s *Store) Delete(ctx context.Context, key string, expect store.Version) error {
	_, err := s.write(ctx, key, versioned{deleted: true}, expect)
	return err
}

func (s *Store) write(ctx context.Context, key string, v versioned, expect store.Version) (store.Version, error) {
	if err := s.admitWrite(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[key]
	current := old.version
	if old.deleted {
		current = 0
	}
	if current != expect {
		return 0, store.ErrConflict
	}
	s.version++
	v.version = s.version
	s.previous[key] = old
	s.objects[key] = v
	close(s.changed)
	s.changed = make(chan struct{})
	s.writeSeen++
	if n := s.faults.LoseAnswerEvery; n > 0 && s.writeSeen%n == 0 {
		return 0, store.ErrUnknownOutcome
	}
	return v.version, nil
}
