package logs

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// boxView is what a box knew, by its lines.
type boxView struct {
	config    Line            // "configuration in force"
	store     map[string]Line // by kind of record: lost, or answers again
	standing  map[string]Line // by target
	listed    map[string]Line // by target: listed or gone
	tellers   map[string]Line // by data hall: who reports it, or that nobody does
	readiness Line            // "cut off without targets"
}

// groupMap is the last that agents reported of a group.
type groupMap struct {
	change Line            // "map change ended"
	plan   Line            // "map proposed"
	paces  map[string]Line // by rank
	lost   map[string]Line // by rank: the last "rank read"
}

func newBoxView() *boxView {
	return &boxView{store: map[string]Line{}, standing: map[string]Line{}, listed: map[string]Line{}, tellers: map[string]Line{}}
}

// take takes a line of the box.
func (b *boxView) take(l Line) {
	switch l.msg {
	case "configuration in force":
		b.config = l
	case "store lost", "store answers again":
		b.store[l.Get("kind")] = l
	case "target standing":
		b.standing[l.Get("target")] = l
	case "target listed", "target gone":
		b.listed[l.Get("target")] = l
	case "hall watched through peer", "no peer reports on hall, watching its targets directly":
		b.tellers[l.Get("hall")] = l
	case "cut off without targets":
		b.readiness = l
	case "started":
		*b = *newBoxView() // the process before it is gone, and all that it knew
	}
}

// groups is what agents reported of all groups.
type groups map[string]*groupMap

func (g groups) of(name string) *groupMap {
	m, ok := g[name]
	if !ok {
		m = &groupMap{paces: map[string]Line{}, lost: map[string]Line{}}
		g[name] = m
	}
	return m
}

// take takes a line of an agent.
func (g groups) take(l Line) {
	name := l.Get("group")
	if name == "" {
		return
	}
	switch l.msg {
	case "map proposed":
		g.of(name).plan = l
	case "map change ended":
		g.of(name).change = l
	case "pace":
		g.of(name).paces[l.Get("of")] = l
	case "rank read":
		g.of(name).lost[l.Get("of")] = l
	}
}

// Fact is one thing that was held true, and how old it was.
type Fact struct {
	what string
	age  time.Duration
}

// Text describes it.
func (f Fact) Text() string { return f.what }

// Age is how long before it was reported.
func (f Fact) Age() time.Duration { return f.age }

func fact(now time.Time, l Line, format string, args ...any) Fact {
	return Fact{what: fmt.Sprintf(format, args...), age: now.Sub(l.at)}
}

// facts are what bears on a request to the service, or to the targets, at the time.
func (b *boxView) facts(now time.Time, g groups, service string, targets []string) []Fact {
	var list []Fact
	if b.config.msg != "" {
		list = append(list, fact(now, b.config, "configuration %s from %s", b.config.Get("version"), b.config.Get("source")))
	}
	for _, kind := range slices.Sorted(maps.Keys(b.store)) {
		list = append(list, fact(now, b.store[kind], "%s (%s)", b.store[kind].msg, kind))
	}
	for _, hall := range slices.Sorted(maps.Keys(b.tellers)) {
		list = append(list, fact(now, b.tellers[hall], "%s %s", b.tellers[hall].msg, hall))
	}
	if b.readiness.Get("stranded") == "true" {
		list = append(list, fact(now, b.readiness, "the box is cut off without targets"))
	}
	if service != "" {
		list = append(list, b.targetsOf(now, service)...)
	}
	for _, t := range targets {
		list = append(list, b.target(now, g, t)...)
	}
	return list
}

// targetsOf counts the targets of the service by standing.
func (b *boxView) targetsOf(now time.Time, service string) []Fact {
	counts := map[string]int{}
	var last Line
	for id, l := range b.listed {
		if l.msg == "target gone" || l.Get("service") != service {
			continue
		}
		standing := "not judged yet"
		if s, ok := b.standing[id]; ok {
			standing = s.Get("standing")
			if s.at.After(last.at) {
				last = s
			}
		}
		counts[standing]++
	}
	if len(counts) == 0 {
		return []Fact{{what: "no target of " + service + " is listed"}}
	}
	var parts []string
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[s], s))
	}
	return []Fact{fact(now, last, "targets of %s: %s", service, strings.Join(parts, ", "))}
}

// target is what was held of one target and of its group.
func (b *boxView) target(now time.Time, g groups, id string) []Fact {
	var list []Fact
	if l, ok := b.listed[id]; ok {
		list = append(list, fact(now, l, "target %s %s at %s, %s", id, strings.TrimPrefix(l.msg, "target "), l.Get("address"), l.Get("state")))
	}
	if l, ok := b.standing[id]; ok {
		list = append(list, fact(now, l, "target %s is %s, was %s", id, l.Get("standing"), l.Get("before")))
	}
	if name := b.listed[id].Get("group"); name != "" {
		list = append(list, g.of(name).facts(now, name)...)
	}
	return list
}

func (m *groupMap) facts(now time.Time, name string) []Fact {
	var list []Fact
	if l := m.plan; l.msg != "" {
		list = append(list, fact(now, l, "group %s had a skew of %.2f as a map was proposed", name, l.Number("skew")))
	}
	if l := m.change; l.msg != "" {
		list = append(list, fact(now, l, "group %s: change of maps %s, held %s", name, l.Get("end"), l.Get("held")))
	}
	for _, rank := range slices.Sorted(maps.Keys(m.paces)) {
		if l := m.paces[rank]; l.Number("pace") > 1 {
			list = append(list, fact(now, l, "group %s: rank %s is %s times slower than usual", name, rank, l.Get("pace")))
		}
	}
	for _, rank := range slices.Sorted(maps.Keys(m.lost)) {
		if l := m.lost[rank]; l.Get("lost") == "true" {
			list = append(list, fact(now, l, "group %s: rank %s does not answer", name, rank))
		}
	}
	return list
}
