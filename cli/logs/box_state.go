package logs

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// boxState is the state of an entry box, rebuilt from its log lines. Each field holds the
// latest line of its kind.
type boxState struct {
	config      Line            // "configuration in force"
	store       map[string]Line // "store lost" or "store answers again", by kind of record
	standing    map[string]Line // "target standing", by target
	listed      map[string]Line // "target listed" or "target gone", by target
	hallSources map[string]Line // which peer reports a data hall's targets, or that none does, by hall
	isolation   Line            // "cut off without targets"
}

// groupState is the state of a group, rebuilt from the log lines of its agents. Each field
// holds the latest line of its kind.
type groupState struct {
	change    Line            // "map change ended"
	proposal  Line            // "map proposed"
	slowdowns map[string]Line // "pace", by rank
	reads     map[string]Line // "rank read", by rank
}

func newBoxState() *boxState {
	return &boxState{store: map[string]Line{}, standing: map[string]Line{}, listed: map[string]Line{}, hallSources: map[string]Line{}}
}

// apply updates the state by a line of the box.
func (b *boxState) apply(l Line) {
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
		b.hallSources[l.Get("hall")] = l
	case "cut off without targets":
		b.isolation = l
	case "started":
		*b = *newBoxState() // a new process starts without the state of the previous one
	}
}

// groups holds the states of all groups by name.
type groups map[string]*groupState

// state returns the state of the group, created empty on first use.
func (g groups) state(name string) *groupState {
	m, ok := g[name]
	if !ok {
		m = &groupState{slowdowns: map[string]Line{}, reads: map[string]Line{}}
		g[name] = m
	}
	return m
}

// apply updates the state of a group by a line of one of its agents; lines without a group
// are ignored.
func (g groups) apply(l Line) {
	name := l.Get("group")
	if name == "" {
		return
	}
	switch l.msg {
	case "map proposed":
		g.state(name).proposal = l
	case "map change ended":
		g.state(name).change = l
	case "pace":
		g.state(name).slowdowns[l.Get("of")] = l
	case "rank read":
		g.state(name).reads[l.Get("of")] = l
	}
}

// Fact describes one part of the state of a box or a group, and how long it had been so.
type Fact struct {
	text string
	age  time.Duration
}

// Text returns the description in words.
func (f Fact) Text() string { return f.text }

// Age returns the time from the log line that reported the fact to the end of the request.
func (f Fact) Age() time.Duration { return f.age }

// newFact formats a fact that the line reported; now is the end of the request.
func newFact(now time.Time, l Line, format string, args ...any) Fact {
	return Fact{text: fmt.Sprintf(format, args...), age: now.Sub(l.at)}
}

// facts returns the facts that are relevant to a request to the service, or to one of the
// targets, at the given time.
func (b *boxState) facts(now time.Time, g groups, service string, targets []string) []Fact {
	var list []Fact
	if b.config.msg != "" {
		list = append(list, newFact(now, b.config, "configuration %s from %s", b.config.Get("version"), b.config.Get("source")))
	}
	for _, kind := range slices.Sorted(maps.Keys(b.store)) {
		list = append(list, newFact(now, b.store[kind], "%s (%s)", b.store[kind].msg, kind))
	}
	for _, hall := range slices.Sorted(maps.Keys(b.hallSources)) {
		list = append(list, newFact(now, b.hallSources[hall], "%s %s", b.hallSources[hall].msg, hall))
	}
	if b.isolation.Get("stranded") == "true" {
		list = append(list, newFact(now, b.isolation, "the box is cut off without targets"))
	}
	if service != "" {
		list = append(list, b.serviceFacts(now, service)...)
	}
	for _, t := range targets {
		list = append(list, b.targetFacts(now, g, t)...)
	}
	return list
}

// serviceFacts counts the listed targets of the service by standing. The age is that of
// the latest line about one of them.
func (b *boxState) serviceFacts(now time.Time, service string) []Fact {
	counts := map[string]int{}
	var last Line
	for id, l := range b.listed {
		if l.msg == "target gone" || l.Get("service") != service {
			continue
		}
		latest, standing := l, "not judged yet"
		if s, ok := b.standing[id]; ok {
			latest, standing = s, s.Get("standing")
		}
		if latest.at.After(last.at) {
			last = latest
		}
		counts[standing]++
	}
	if len(counts) == 0 {
		return []Fact{{text: "no target of " + service + " is listed"}}
	}
	var parts []string
	for _, s := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[s], s))
	}
	return []Fact{newFact(now, last, "targets of %s: %s", service, strings.Join(parts, ", "))}
}

// targetFacts returns the address, state and standing of a target, and the facts of its group.
func (b *boxState) targetFacts(now time.Time, g groups, id string) []Fact {
	var list []Fact
	if l, ok := b.listed[id]; ok {
		list = append(list, newFact(now, l, "target %s %s at %s, %s", id, strings.TrimPrefix(l.msg, "target "), l.Get("address"), l.Get("state")))
	}
	if l, ok := b.standing[id]; ok {
		list = append(list, newFact(now, l, "target %s is %s, was %s", id, l.Get("standing"), l.Get("before")))
	}
	if name := b.listed[id].Get("group"); name != "" {
		list = append(list, g.state(name).facts(now, name)...)
	}
	return list
}

// facts returns the skew and the map change last reported for the group, and its ranks that
// are slow or do not answer.
func (m *groupState) facts(now time.Time, name string) []Fact {
	var list []Fact
	if l := m.proposal; l.msg != "" {
		list = append(list, newFact(now, l, "group %s had a skew of %.2f as a map was proposed", name, l.Number("skew")))
	}
	if l := m.change; l.msg != "" {
		list = append(list, newFact(now, l, "group %s: change of maps %s, held %s", name, l.Get("end"), l.Get("held")))
	}
	for _, rank := range slices.Sorted(maps.Keys(m.slowdowns)) {
		if l := m.slowdowns[rank]; l.Number("pace") > 1 {
			list = append(list, newFact(now, l, "group %s: rank %s is %s times slower than usual", name, rank, l.Get("pace")))
		}
	}
	for _, rank := range slices.Sorted(maps.Keys(m.reads)) {
		if l := m.reads[rank]; l.Get("lost") == "true" {
			list = append(list, newFact(now, l, "group %s: rank %s does not answer", name, rank))
		}
	}
	return list
}
