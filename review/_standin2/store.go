package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: objects by kind and name, one counter of revisions, listings, watches, and writes that
// may state the revision that they replace.
type store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]map[string]object
	events  []change
	changed chan struct{}
	address string
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type meta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type change struct {
	kind    string
	removed bool
	object  object
}

// startStore serves a store at a free loopback address. Its first revision is above 0.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rev: 1, objects: map[string]map[string]object{}, changed: make(chan struct{}), address: l.Addr().String()}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// put writes an object as the operator or a worker does. A write that changes nothing raises no revision.
func (s *store) put(kind, name string, spec any) {
	raw, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(s.objects[kind][name].Spec) != string(raw) {
		s.write(kind, name, raw)
	}
}

// write stores the object; mu is held.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.rev++
	o := object{Metadata: meta{name, s.rev}, Spec: spec, Status: json.RawMessage("null")}
	s.objects[kind][name] = o
	s.announce(change{kind, false, o})
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Revision = s.rev
	s.announce(change{kind, true, o})
}

func (s *store) announce(c change) {
	s.events = append(s.events, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names["era"], "1")
	w.Header().Set("Content-Type", "application/json")
	path, ok := strings.CutPrefix(r.URL.Path, names["objects"])
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodPost:
		s.create(w, r, kind)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
	default:
		w.WriteHeader(http.StatusNotImplemented)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	reply(w, map[string]any{"items": items, "truncated": false, names["revision"]: rev})
}

func (s *store) create(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if old, exists := s.objects[kind][o.Metadata.Name]; exists {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		reply(w, old)
		return
	}
	created := s.write(kind, o.Metadata.Name, o.Spec)
	s.mu.Unlock()
	w.WriteHeader(http.StatusCreated)
	reply(w, created)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		found, rev, changed := s.after(kind, since)
		if len(found) > 0 {
			reply(w, map[string]any{"events": found, names["revision"]: rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": []any{}, names["revision"]: rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) after(kind string, since uint64) (found []map[string]any, rev uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.events {
		if c.kind == kind && c.object.Metadata.Revision > since {
			found = append(found, map[string]any{names["removed"]: c.removed, "object": c.object})
		}
	}
	return found, s.rev, s.changed
}

func reply(w http.ResponseWriter, body any) { _ = json.NewEncoder(w).Encode(body) }
