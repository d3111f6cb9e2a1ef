package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: objects by kind and name, listings in pages, and watches. It loses
// nothing, and its answers are linearizable.
type store struct {
	pageSize int
	latency  time.Duration
	record   *record

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []change
	changed  chan struct{} // closed at the next change
}

type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec    json.RawMessage `json:"spec"`
	created uint64          // revision at which the object was created
}

// MarshalJSON implements json.Marshaler.
func (o object) MarshalJSON() ([]byte, error) {
	return json.Marshal(map[string]any{
		"metadata": map[string]any{
			"name": o.Metadata.Name, "revision": o.Metadata.Revision, names.Created: o.created, "finalizers": []string{}, "deleting": false,
		},
		"spec": o.Spec, "status": map[string]any{},
	})
}

// change is one change of an object; removed states that the object was deleted.
type change struct {
	kind    string
	object  object
	removed bool
}

func newStore(r *record, pageSize int) *store {
	return &store{pageSize: pageSize, latency: 4 * time.Millisecond, record: r, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put creates or replaces an object, and returns the time at which the store has acknowledged that.
func (s *store) put(kind, name string, spec any) time.Time {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // the stand-ins write maps of strings and numbers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := object{Spec: raw}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o.created = s.revision
	if old, ok := s.objects[kind][name]; ok {
		o.created = old.created
	}
	s.objects[kind][name] = o
	return s.announce(change{kind: kind, object: o})
}

// remove deletes an object.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	return s.announce(change{kind: kind, object: o, removed: true})
}

// announce adds a change to the history and wakes the watches; mu is held.
func (s *store) announce(c change) time.Time {
	s.events = append(s.events, c)
	close(s.changed)
	s.changed = make(chan struct{})
	now := time.Now()
	s.record.addAt(now, "store: revision %d: %s/%s removed=%t %s", s.revision, c.kind, c.object.Metadata.Name, c.removed, c.object.Spec)
	return now
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.latency)
	kind, ok := strings.CutPrefix(r.URL.Path, names.Objects)
	q := r.URL.Query()
	switch {
	case !ok:
		http.Error(w, "unknown path", http.StatusBadRequest)
	case r.Method == http.MethodPost:
		s.create(w, r, kind)
	case r.Method == http.MethodDelete:
		kind, name, _ := strings.Cut(kind, "/")
		s.remove(kind, name)
	case q.Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind, q.Get(names.After))
	}
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Metadata.Name == "" {
		http.Error(w, "malformed object", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	_, exists := s.objects[kind][o.Metadata.Name]
	s.mu.Unlock()
	if exists {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.put(kind, o.Metadata.Name, o.Spec)
	w.WriteHeader(http.StatusCreated)
}

// list sends the page of the objects whose names come after the given one.
func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	items := []object{}
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		if name > after {
			items = append(items, s.objects[kind][name])
		}
	}
	at := s.revision
	s.mu.Unlock()
	truncated := len(items) > s.pageSize
	items = items[:min(len(items), s.pageSize)]
	s.record.add("store: list of %s after %q: %d items at revision %d, truncated=%t", kind, after, len(items), at, truncated)
	sendJSON(w, map[string]any{"items": items, "truncated": truncated, names.Position: at})
}

// watch sends the changes of the kind after a revision as soon as there is one.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		http.Error(w, "malformed watch", http.StatusBadRequest)
		return
	}
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for {
		found, at, changed := s.changesAfter(kind, from)
		if len(found) > 0 {
			sendJSON(w, map[string]any{"events": found, names.Position: at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			sendJSON(w, map[string]any{"events": []any{}, names.Position: at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(kind string, from uint64) (found []map[string]any, at uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.events {
		if c.kind == kind && c.object.Metadata.Revision > from {
			found = append(found, map[string]any{"object": c.object, names.Removed: c.removed})
		}
	}
	return found, s.revision, s.changed
}

func sendJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has closed the connection
}
