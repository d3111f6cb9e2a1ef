package logs

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// LimitUsage is what all boxes together sent a target while it named limits.
type LimitUsage struct {
	target       string
	spells       []limitSpell
	sent, served int
	most         int
}

// limitSpell is a time with one limit.
type limitSpell struct {
	perSecond float64
	from, to  time.Time
}

// limitWindow is the time of which the largest number of requests is reported.
const limitWindow = 4 * time.Second

// Target is its id.
func (l LimitUsage) Target() string { return l.target }

// PerSecond is the limit that it named last, in requests a second from all boxes.
func (l LimitUsage) PerSecond() float64 { return l.spells[len(l.spells)-1].perSecond }

// Allowed is how many requests its limits came to, in the time for which it named them.
func (l LimitUsage) Allowed() float64 {
	sum := 0.0
	for _, x := range l.spells {
		sum += x.perSecond * x.to.Sub(x.from).Seconds()
	}
	return sum
}

// Sent is how many requests it was sent in that time.
func (l LimitUsage) Sent() int { return l.sent }

// Served is how many of them it served.
func (l LimitUsage) Served() int { return l.served }

// Peak is the most that it was sent within four seconds of that time.
func (l LimitUsage) Peak() int { return l.most }

// LimitUsages are the targets that named limits, in order of their ids.
func (s *Set) LimitUsages() []LimitUsage {
	spells := map[string][]limitSpell{}
	for _, l := range s.lines {
		if l.msg == "target limit" {
			id := l.Get("target")
			spells[id] = noteLimit(spells[id], l)
		}
	}
	var list []LimitUsage
	for id, of := range spells {
		if last := &of[len(of)-1]; last.to.IsZero() {
			last.to = s.lines[len(s.lines)-1].at
		}
		x := LimitUsage{target: id, spells: of}
		x.count(s)
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b LimitUsage) int { return cmp.Compare(a.target, b.target) })
	return list
}

// noteLimit adds what a line reports about a target's limit. Boxes notify each other, so that most lines
// repeat what is known.
func noteLimit(spells []limitSpell, l Line) []limitSpell {
	at := l.at.Add(-l.Duration("age"))
	perSecond, err := strconv.ParseFloat(l.Get("limit"), 64)
	named := err == nil // else the limit has ended
	var open *limitSpell
	if n := len(spells); n > 0 && spells[n-1].to.IsZero() {
		open = &spells[n-1]
	}
	if open != nil && (!named || open.perSecond != perSecond) {
		open.to = at
	}
	if named && (open == nil || open.perSecond != perSecond) {
		spells = append(spells, limitSpell{perSecond: perSecond, from: at})
	}
	return spells
}

// count adds up what boxes sent the target.
func (l *LimitUsage) count(s *Set) {
	var times []time.Time
	for _, line := range s.lines {
		if line.Get("target") != l.target || line.msg != "request answered" && line.msg != "attempt failed" {
			continue
		}
		at := line.at.Add(-line.Duration("after"))
		if !slices.ContainsFunc(l.spells, func(x limitSpell) bool { return !at.Before(x.from) && at.Before(x.to) }) {
			continue
		}
		times = append(times, at)
		if line.msg == "request answered" {
			l.served++
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	l.sent = len(times)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		l.most = max(l.most, i-first+1)
	}
}
