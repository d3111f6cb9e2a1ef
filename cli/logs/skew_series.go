package logs

import "math"

// skewSeries follows the skew of groups over the lines of their agents: a proposal states the skew of the map in use
// and that expected of the proposed one, which holds from the commit of the change.
type skewSeries struct {
	groups  map[string]proposedSkew
	highest []float64 // the highest skew of a group in each second so far; 0 while none is known
}

// proposedSkew is the skew of a group's map, and that expected of the map proposed last.
type proposedSkew struct {
	now, expected float64
}

func newSkewSeries() *skewSeries { return &skewSeries{groups: map[string]proposedSkew{}} }

// apply updates the series by a line in the given second of the span; seconds must not decrease. The skew before
// and after a line both count in its second.
func (s *skewSeries) apply(second int, l Line) {
	name := l.Get("group")
	g := s.groups[name]
	switch {
	case l.msg == "map proposed":
		g = proposedSkew{now: skewOf(l, "skew"), expected: skewOf(l, "expected")}
	case l.msg == "map change ended" && l.Get("end") == "committed":
		g.now = g.expected
	default:
		return
	}
	s.extend(second + 1)
	s.groups[name] = g
	s.highest[second] = max(s.highest[second], g.now)
}

// extend makes the series n seconds long; the skews of groups last until the next line.
func (s *skewSeries) extend(n int) {
	for len(s.highest) < n {
		highest := 0.0
		for _, g := range s.groups {
			highest = max(highest, g.now)
		}
		s.highest = append(s.highest, highest)
	}
}

// skewOf returns the skew in a field of a line; 0 if it is no number that a skew can be.
func skewOf(l Line, key string) float64 {
	v := l.Number(key)
	if !(v >= 1) || math.IsInf(v, 0) {
		return 0
	}
	return v
}
