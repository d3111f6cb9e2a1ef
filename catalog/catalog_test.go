package catalog_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/store"
)

func route(t *testing.T, name, host, prefix string) catalog.Route {
	t.Helper()
	r, err := catalog.NewRoute(catalog.RouteFields{
		Name: name, Host: host, Prefix: prefix, Kind: catalog.Repeatable, Timeout: time.Second,
		Backends: []catalog.Backend{{Service: "s", Weight: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	c, err := catalog.New(catalog.Document{Routes: []catalog.Route{
		route(t, "all", "a.example", "/"), route(t, "one", "a.example", "/x/"),
		route(t, "two", "a.example", "/x/y/"), route(t, "other", "b.example", "/x/"),
	}})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/q/2f", "all"},
		{"a.example", "/x", "all"}, // the prefix ends with a slash
		{"a.example", "/x/", "one"},
		{"a.example", "/x/z/2f", "one"},
		{"a.example", "/x/y/z", "two"},
		{"a.example", "/x/yy", "one"},
		{"b.example", "/x/y/z", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"a.example", "", ""},
	}
	for _, tc := range tests {
		got, ok := c.Match(tc.host, tc.path)
		if ok != (tc.want != "") || got.Name() != tc.want {
			t.Errorf("%s%s: got %q, want %q", tc.host, tc.path, got.Name(), tc.want)
		}
	}
}

func TestInvalidRouteErrorNamesField(t *testing.T) {
	good := catalog.RouteFields{
		Name: "r", Host: "h", Prefix: "/p/", Kind: catalog.Once, Timeout: time.Second,
		Backends: []catalog.Backend{{Service: "s", Weight: 1}},
	}
	tests := []struct {
		field string
		spoil func(*catalog.RouteFields)
	}{
		{"host", func(f *catalog.RouteFields) { f.Host = "" }},
		{"prefix", func(f *catalog.RouteFields) { f.Prefix = "/p" }},
		{"kind", func(f *catalog.RouteFields) { f.Kind = 0 }},
		{"timeout", func(f *catalog.RouteFields) { f.Timeout = 0 }},
		{"backends", func(f *catalog.RouteFields) { f.Backends = nil }},
		{"backends", func(f *catalog.RouteFields) { f.Backends = []catalog.Backend{{Service: "s", Weight: -1}} }},
	}
	for _, tc := range tests {
		f := good
		tc.spoil(&f)
		_, err := catalog.NewRoute(f)
		if e := fault.Find(err); e == nil || e.Kind() != fault.InvalidObject || e.FieldName() != tc.field {
			t.Errorf("%s: got %v", tc.field, err)
		}
	}
}

func TestSelectServiceFollowsWeights(t *testing.T) {
	r, err := catalog.NewRoute(catalog.RouteFields{
		Name: "r", Host: "h", Prefix: "/", Kind: catalog.Once, Timeout: time.Second,
		Backends: []catalog.Backend{{Service: "a", Weight: 90}, {Service: "none", Weight: 0}, {Service: "b", Weight: 10}},
	})
	if err != nil {
		t.Fatal(err)
	}
	n := map[domain.ServiceName]int{}
	for i := range 1000 {
		n[r.SelectService(float64(i)/1000)]++
	}
	if n["a"] != 900 || n["b"] != 100 || n["none"] != 0 {
		t.Errorf("got %v", n)
	}
}

func TestRouteKindLimitsRepeatAndResume(t *testing.T) {
	tests := []struct {
		kind           catalog.Kind
		resumable      bool
		repeat, resume bool
	}{
		{catalog.Once, false, false, false},
		{catalog.Once, true, false, false}, // only streams are resumed
		{catalog.Repeatable, false, true, false},
		{catalog.Stream, false, false, false},
		{catalog.Stream, true, true, true},
	}
	for _, tc := range tests {
		r, err := catalog.NewRoute(catalog.RouteFields{
			Name: "r", Host: "h", Prefix: "/", Kind: tc.kind, Resumable: tc.resumable, Timeout: time.Second,
			Backends: []catalog.Backend{{Service: "s", Weight: 1}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if r.MayRepeat() != tc.repeat || r.MayResume() != tc.resume {
			t.Errorf("%v, resumable %v: repeat %v, resume %v", tc.kind, tc.resumable, r.MayRepeat(), r.MayResume())
		}
	}
}

func TestAmbiguousDocumentsAreRejected(t *testing.T) {
	tests := map[string]catalog.Document{
		"prefix": {Routes: []catalog.Route{route(t, "a", "h", "/x/"), route(t, "b", "h", "/x/")}},
		"keys":   {Organisations: []catalog.Organisation{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}}},
	}
	for field, d := range tests {
		if _, err := catalog.New(d); fault.Find(err) == nil || fault.Find(err).FieldName() != field {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

func TestOrganisationIsFoundByKey(t *testing.T) {
	c, err := catalog.New(catalog.Document{Organisations: []catalog.Organisation{{Name: "a", Keys: []string{"k1", "k2"}}}})
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]bool{"k1": true, "k2": true, "k3": false, "": false} {
		if o, ok := c.Organisation(key); ok != want || ok && o.Name != "a" {
			t.Errorf("key %q: %v %v", key, o, ok)
		}
	}
}

// TestHolderNeverReverts guards against an older document that replaces a newer one. It offers
// documents out of order, some repeatedly, and documents that cannot be decoded.
func TestHolderNeverReverts(t *testing.T) {
	decode := func(raw []byte) (*catalog.Catalog, error) {
		var v catalog.Version
		if _, err := fmt.Sscan(string(raw), &v); err != nil {
			return nil, errors.New("not a number")
		}
		return catalog.New(catalog.Document{Version: v})
	}
	tests := []struct {
		raw     string
		rev     store.Revision
		changed bool
		fails   bool
		inForce catalog.Version
	}{
		{"bad", 3, false, true, 0},
		{"10", 3, true, false, 10},
		{"10", 3, false, false, 10},
		{"7", 2, false, false, 10},
		{"bad", 9, false, true, 10},
		{"12", 8, true, false, 12}, // the document that failed was ignored
		{"10", 3, false, false, 12},
	}
	var h catalog.Holder
	if h.Current() != nil {
		t.Error("a holder without documents has a catalog")
	}
	for i, tc := range tests {
		changed, err := h.Offer([]byte(tc.raw), store.PositionOf(1, tc.rev), decode)
		if changed != tc.changed || (err != nil) != tc.fails {
			t.Errorf("%d: changed %v, want %v, error %v", i, changed, tc.changed, err)
		}
		if c := h.Current(); c != nil && c.Version() != tc.inForce || c == nil && tc.inForce != 0 {
			t.Errorf("%d: in force %v, want %d", i, c, tc.inForce)
		}
	}
}

func ExampleCatalog_Match() {
	r, _ := catalog.NewRoute(catalog.RouteFields{
		Name: "advice", Host: "lineup.example", Prefix: "/advice/", Kind: catalog.Stream, Timeout: 8 * time.Second,
		Backends: []catalog.Backend{{Service: "advice-llm", Weight: 1}},
	})
	c, _ := catalog.New(catalog.Document{Routes: []catalog.Route{r}})
	found, ok := c.Match("lineup.example", "/advice/squad")
	fmt.Println(found.Name(), ok)
	// Output: advice true
}

// TestRestoredStoreDoesNotRevertConfiguration guards against an earlier version that comes into
// force because the store, restored from a backup, has it at a later position.
func TestRestoredStoreDoesNotRevertConfiguration(t *testing.T) {
	steps := []struct {
		version catalog.Version
		at      store.Position
		changed bool
	}{
		{88, store.PositionOf(1, 63), true},
		{86, store.PositionOf(2, 60), false}, // the backup
		{88, store.PositionOf(2, 61), false}, // written again
		{90, store.PositionOf(2, 62), true},
		{89, store.PositionOf(1, 64), false}, // a delayed response
		{88, store.PositionOf(3, 10), false},
		{90, store.PositionOf(3, 11), false},
		{92, store.PositionOf(3, 12), true},
		{96, store.PositionOf(0, 5), true}, // unknown era
	}
	decode := func(raw []byte) (*catalog.Catalog, error) {
		var v catalog.Version
		_, err := fmt.Sscan(string(raw), &v)
		if err != nil {
			return nil, err
		}
		return catalog.New(catalog.Document{Version: v})
	}
	var h catalog.Holder
	highest := catalog.Version(0)
	for _, s := range steps {
		changed, err := h.Offer([]byte(fmt.Sprint(s.version)), s.at, decode)
		if err != nil || changed != s.changed {
			t.Errorf("version %d at %v: changed %v, want %v, error %v", s.version, s.at, changed, s.changed, err)
		}
		highest = max(highest, s.version)
		if v := h.Current().Version(); v != highest && s.version != 89 {
			t.Errorf("version %d in force after %d", v, highest)
		}
	}
}

// TestClassesOfAService guards against classes that count priorities of other services, or that put a request without a
// priority before all others.
func TestClassesOfAService(t *testing.T) {
	newRoute := func(name, svc string, priority int, public bool) catalog.Route {
		r, err := catalog.NewRoute(catalog.RouteFields{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Kind: catalog.Repeatable, Timeout: time.Second, Priority: priority,
			Public: public, Backends: []catalog.Backend{{Service: domain.ServiceName(svc), Weight: 1}},
		})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	urgent, usual, other, missing := newRoute("urgent", "s", 0, false), newRoute("usual", "s", 2, true), newRoute("other", "t", 7, false), newRoute("missing", "s", -1, false)
	org := catalog.Organisation{Name: "o", Keys: []string{"k"}, Priority: 1}
	c, err := catalog.New(catalog.Document{Routes: []catalog.Route{urgent, usual, other, missing}, Organisations: []catalog.Organisation{org}})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name  string
		svc   domain.ServiceName
		route catalog.Route
		org   catalog.Organisation
		want  string
	}{
		{"most urgent route", "s", urgent, org, "0/4"},
		{"less urgent route", "s", usual, org, "1/4"},
		{"route without a priority", "s", missing, org, "2/4"},
		{"public route without an organisation", "s", usual, catalog.Organisation{}, "3/4"},
		{"only route of its service", "t", other, org, "0/1"},
		{"unknown service", "u", other, org, "0/1"},
	} {
		if got := c.Class(tc.svc, tc.route, tc.org).String(); got != tc.want {
			t.Errorf("%s: class %s, want %s", tc.name, got, tc.want)
		}
	}
}
