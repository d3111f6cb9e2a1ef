package standin_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
	"clovertrail.dev/store/remote"
	"clovertrail.dev/store/standin"
)

// stores gives the stand-in itself and the same behind HTTP.
func stores(t *testing.T) map[string]func() (store.Store, *standin.Store) {
	return map[string]func() (store.Store, *standin.Store){
		"direct": func() (store.Store, *standin.Store) {
			s := standin.New(standin.Limits{})
			return s, s
		},
		"remote": func() (store.Store, *standin.Store) {
			s := standin.New(standin.Limits{})
			srv := httptest.NewServer(remote.Handler(s))
			t.Cleanup(srv.Close)
			return remote.NewClient(srv.URL, http.DefaultClient), s
		},
	}
}

func TestConditionalWrites(t *testing.T) {
	for name, open := range stores(t) {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			s, _ := open()
			v1, err := s.Put(ctx, "a/1", []byte("one"), 0)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Put(ctx, "a/1", []byte("two"), 0); !errors.Is(err, store.ErrConflict) {
				t.Errorf("second create: %v", err)
			}
			v2, err := s.Put(ctx, "a/1", []byte("two"), v1)
			if err != nil || v2 <= v1 {
				t.Errorf("update: %d after %d, %v", v2, v1, err)
			}
			list, err := s.List(ctx, "a/")
			if err != nil || len(list) != 1 || string(list[0].Value()) != "two" {
				t.Errorf("list: %v, %v", list, err)
			}
			if err := s.Delete(ctx, "a/1", v2); err != nil {
				t.Error(err)
			}
			if _, err := s.Get(ctx, "a/1"); !errors.Is(err, store.ErrNotFound) {
				t.Errorf("get after delete: %v", err)
			}
			if v4, err := s.Put(ctx, "a/1", []byte("again"), 0); err != nil || v4 <= v2 {
				t.Errorf("create after delete: %d, %v", v4, err)
			}
		})
	}
}

func TestLostAnswerAfterWrite(t *testing.T) {
	for name, open := range stores(t) {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			s, faults := open()
			faults.SetFaults(standin.Faults{LoseAnswerEvery: 1})
			if _, err := s.Put(ctx, "k", []byte("v"), 0); !errors.Is(err, store.ErrUnknownOutcome) {
				t.Fatalf("put: %v", err)
			}
			if o, err := s.Get(ctx, "k"); err != nil || string(o.Value()) != "v" {
				t.Errorf("the write was not made: %v", err)
			}
			faults.SetFaults(standin.Faults{Down: true})
			if _, err := s.Put(ctx, "k2", nil, 0); !errors.Is(err, store.ErrUnavailable) {
				t.Errorf("put while down: %v", err)
			}
		})
	}
}

func TestWatchWaitsForChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Limits{})
		v, _ := s.Put(t.Context(), "k", []byte("1"), 0)
		go func() {
			time.Sleep(time.Second)
			_, _ = s.Put(t.Context(), "k", []byte("2"), v)
		}()
		o, err := s.Watch(t.Context(), "k", v)
		if err != nil || string(o.Value()) != "2" {
			t.Errorf("watch: %v, %v", o, err)
		}
		s.SetFaults(standin.Faults{DeafWatches: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := s.Watch(ctx, "k", 0); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("deaf watch: %v", err)
		}
	})
}

func TestRatesAreEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Limits{ReadsPerSecond: 10})
		refused := 0
		for range 30 {
			if _, err := s.List(t.Context(), ""); errors.Is(err, store.ErrRateLimited) {
				refused++
			}
		}
		if refused != 20 {
			t.Errorf("refused %d of 30 at once, want 20", refused)
		}
		time.Sleep(time.Second)
		if _, err := s.List(t.Context(), ""); err != nil {
			t.Errorf("after a second: %v", err)
		}
	})
}

func TestFrozenBoxList(t *testing.T) {
	ctx := context.Background()
	s := standin.New(standin.Limits{})
	s.SetBox(domain.NewEntryBox("entry-1", "bole-hall", "127.0.0.1:1", 1))
	s.SetFaults(standin.Faults{FrozenBoxes: true})
	s.RemoveBox("entry-1")
	if b, _ := s.Boxes(ctx); len(b.All()) != 1 {
		t.Error("the frozen list followed the truth")
	}
	s.SetFaults(standin.Faults{})
	if b, _ := s.Boxes(ctx); len(b.All()) != 0 {
		t.Error("the list does not follow after thawing")
	}
}
