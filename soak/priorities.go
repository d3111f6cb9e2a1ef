package soak

import "strings"

// priorities are the priorities of a run's routes and organisations, with the levels that targets must
// receive for them. The levels are written out, so that the check does not repeat the code that it checks.
type priorities struct {
	routes, organisations map[string]int
	// levels are the levels by first element of the path, "group" for the route to the group, one map for each
	// priority of organisations. Requests without an entry, whose service has one class, must carry no level.
	levels []map[string]string
}

// allPriorities are the priorities of runs, which take them in turn by seed. Routes without a priority here
// have priority 1, organisations 0.
var allPriorities = []priorities{
	{},
	{
		routes: map[string]int{"once": 0, "stream": 2},
		levels: []map[string]string{{"once": "4", "again": "5", "v": "5", "stream": "6"}},
	},
	{
		routes: map[string]int{"once": 0, "stream": 2}, organisations: map[string]int{"org-1": 1, "org-2": 1},
		levels: []map[string]string{
			{"once": "2", "again": "3", "v": "3", "stream": "4", "group": "4"},
			{"once": "5", "again": "6", "v": "6", "stream": "7", "group": "5"},
		},
	},
}

func prioritiesOf(seed uint64) priorities { return allPriorities[seed%uint64(len(allPriorities))] }

// claimedLevels are the levels that callers send in turn, the empty one for none. None of them is a level
// that targets must receive.
var claimedLevels = []string{"0", "", "9"}

// level returns the level that targets must receive for the request; empty for none.
func (p priorities) level(ex exchange) string {
	if p.levels == nil {
		return ""
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(ex.request.Path, "/"), "/")
	if ex.group {
		kind = "group"
	}
	return p.levels[p.organisations[ex.organisation]][strings.TrimRight(kind, "0123456789")]
}

// checkLevels reports requests that reached a target with another level than that of their class. In a run with
// one class that is any level; one that the caller claimed always is.
func (rec *recorder) checkLevels(ex exchange, violate violationFunc) {
	if ex.late {
		return // its service has other classes than the levels are stated for
	}
	want := rec.priorities.level(ex)
	for _, r := range rec.runs[ex.request.ID] {
		if r.Level != want {
			violate("urgency", "request %s of %s for %s, which claims level %q, ran on %s with level %q, want %q", ex.request.ID, ex.organisation, ex.request.Path, ex.request.Level, r.Target, r.Level, want)
		}
	}
}
