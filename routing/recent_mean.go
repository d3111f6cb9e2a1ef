package routing

import "time"

// recentMean is the mean of durations, weighted by how recent they are. Means of several targets can be
// added: a box of a large fleet sends a target a request only every few seconds.
type recentMean struct {
	sum    time.Duration
	weight float64
}

// add adds a duration that was observed now.
func (m *recentMean) add(d time.Duration) {
	m.sum = d + time.Duration((1-meanSmoothing)*float64(m.sum))
	m.weight = 1 + (1-meanSmoothing)*m.weight
}

// join adds the durations of the other mean.
func (m *recentMean) join(o recentMean) {
	m.sum += o.sum
	m.weight += o.weight
}

// value returns the mean; 0 without any duration.
func (m recentMean) value() time.Duration {
	if m.weight == 0 {
		return 0
	}
	return time.Duration(float64(m.sum) / m.weight)
}
