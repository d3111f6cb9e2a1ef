package logs

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

// LimitUsage compares the requests that all boxes sent a target with the rate limits that the
// target announced.
type LimitUsage struct {
	target       string
	periods      []limitPeriod
	sent, served int
	peak         int
}

// limitPeriod is a period during which one limit was in force.
type limitPeriod struct {
	perSecond float64
	from, to  time.Time
}

// limitWindow is the length of the window over which Peak counts requests.
const limitWindow = 4 * time.Second

// Target returns the id of the target.
func (u LimitUsage) Target() string { return u.target }

// PerSecond returns the last limit announced, in requests per second from all boxes together.
func (u LimitUsage) PerSecond() float64 { return u.periods[len(u.periods)-1].perSecond }

// Allowed returns the number of requests that the limits allowed while they were in force.
func (u LimitUsage) Allowed() float64 {
	sum := 0.0
	for _, p := range u.periods {
		sum += p.perSecond * p.to.Sub(p.from).Seconds()
	}
	return sum
}

// Sent returns the number of requests sent to the target while a limit was in force.
func (u LimitUsage) Sent() int { return u.sent }

// Served returns how many of the requests sent were answered.
func (u LimitUsage) Served() int { return u.served }

// Peak returns the largest number of requests sent within four seconds while a limit was
// in force.
func (u LimitUsage) Peak() int { return u.peak }

// LimitUsages returns the usage of each target that announced limits, in order of target ids.
func (s *Set) LimitUsages() []LimitUsage {
	periods := map[string][]limitPeriod{}
	for _, l := range s.lines {
		if l.msg == "target limit" {
			id := l.Get("target")
			periods[id] = addLimitReport(periods[id], l)
		}
	}
	var list []LimitUsage
	for id, ps := range periods {
		if last := &ps[len(ps)-1]; last.to.IsZero() {
			last.to = s.lines[len(s.lines)-1].at
		}
		u := LimitUsage{target: id, periods: ps}
		u.count(s)
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b LimitUsage) int { return cmp.Compare(a.target, b.target) })
	return list
}

// addLimitReport adds a line about the limit of a target to the periods of that target.
// Boxes notify each other of limits, so most lines repeat the limit in force and change
// nothing.
func addLimitReport(periods []limitPeriod, l Line) []limitPeriod {
	at := l.at.Add(-l.Duration("age"))
	perSecond, err := strconv.ParseFloat(l.Get("limit"), 64)
	limited := err == nil // otherwise the line reports the end of the limit
	var current *limitPeriod
	if n := len(periods); n > 0 && periods[n-1].to.IsZero() {
		current = &periods[n-1]
	}
	if current != nil && (!limited || current.perSecond != perSecond) {
		current.to = at
	}
	if limited && (current == nil || current.perSecond != perSecond) {
		periods = append(periods, limitPeriod{perSecond: perSecond, from: at})
	}
	return periods
}

// count counts the requests that boxes sent the target while a limit was in force.
func (u *LimitUsage) count(s *Set) {
	var times []time.Time
	for _, l := range s.lines {
		if l.Get("target") != u.target || l.msg != "request answered" && l.msg != "attempt failed" {
			continue
		}
		at := l.at.Add(-l.Duration("after"))
		if !slices.ContainsFunc(u.periods, func(p limitPeriod) bool { return !at.Before(p.from) && at.Before(p.to) }) {
			continue
		}
		times = append(times, at)
		if l.msg == "request answered" {
			u.served++
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	u.sent = len(times)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		u.peak = max(u.peak, i-first+1)
	}
}
