package remote

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// BoxSetter takes changes of the list of boxes; the stand-in is one.
type BoxSetter interface {
	SetBox(domain.Box)
	RemoveBox(domain.BoxID)
}

// handler serves a store.
type handler struct{ store store.Store }

// Handler serves the store. If it is also a BoxSetter, boxes can be put on and
// taken off the list, as the platform itself would do.
func Handler(s store.Store) http.Handler {
	h := handler{store: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+objectPath, h.get)
	mux.HandleFunc("PUT "+objectPath, h.put)
	mux.HandleFunc("DELETE "+objectPath, h.remove)
	mux.HandleFunc("GET "+listPath, h.list)
	mux.HandleFunc("GET "+watchPath, h.watch)
	mux.HandleFunc("GET "+boxesPath, h.boxes)
	if b, ok := s.(BoxSetter); ok {
		mux.HandleFunc("PUT "+boxesPath, putBox(b))
		mux.HandleFunc("DELETE "+boxesPath, removeBox(b))
	}
	return mux
}

func (h handler) get(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Get(r.Context(), r.FormValue(keyParam))
	reply(w, wireOf(o), err)
}

func (h handler) watch(w http.ResponseWriter, r *http.Request) {
	o, err := h.store.Watch(r.Context(), r.FormValue(keyParam), versionParam(r, sinceParam))
	reply(w, wireOf(o), err)
}

func (h handler) list(w http.ResponseWriter, r *http.Request) {
	objects, err := h.store.List(r.Context(), r.FormValue(prefixParam))
	list := make([]wireObject, 0, len(objects))
	for _, o := range objects {
		list = append(list, wireOf(o))
	}
	reply(w, list, err)
}

func (h handler) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, store.MaxValueBytes+1))
	if err != nil {
		reply(w, nil, store.ErrTooLarge)
		return
	}
	v, err := h.store.Put(r.Context(), r.URL.Query().Get(keyParam), value, versionParam(r, expectParam))
	reply(w, wireObject{Version: v}, err)
}

func (h handler) remove(w http.ResponseWriter, r *http.Request) {
	err := h.store.Delete(r.Context(), r.URL.Query().Get(keyParam), versionParam(r, expectParam))
	reply(w, wireObject{}, err)
}

func (h handler) boxes(w http.ResponseWriter, r *http.Request) {
	b, err := h.store.Boxes(r.Context())
	reply(w, wireBoxes{Version: b.Version(), Boxes: b.All()}, err)
}

func putBox(b BoxSetter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var box domain.Box
		if err := json.NewDecoder(r.Body).Decode(&box); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		b.SetBox(box)
		reply(w, wireObject{}, nil)
	}
}

func removeBox(b BoxSetter) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b.RemoveBox(domain.BoxID(r.URL.Query().Get("id")))
		reply(w, wireObject{}, nil)
	}
}

func versionParam(r *http.Request, name string) store.Version {
	v, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return store.Version(v)
}

func wireOf(o store.Object) wireObject {
	return wireObject{Key: o.Key(), Value: o.Value(), Version: o.Version()}
}

func reply(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the client sees a cut answer as lost
}
