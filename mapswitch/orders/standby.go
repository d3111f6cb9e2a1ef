package orders

import "time"

const (
	// standByStep is how much longer than the rank before it a rank waits before it
	// coordinates: a round of reads, by which the rank before it is heard.
	standByStep = 50 * time.Millisecond
	// standByFirst is how many ranks wait so; each after them waits standByLater longer
	// than the one before it. It is unlikely that all of the first are lost at once.
	standByFirst = 10
	standByLater = 8 * time.Millisecond
)

// StandbyDelay is how much longer than the first rank the rank waits before it coordinates,
// when agents start together or the coordinator falls silent. If all took over at once they would
// spoil each other's attempts until they learned of each other, with the group held meanwhile.
func StandbyDelay(rank int) time.Duration {
	first := min(max(rank, 0), standByFirst)
	return time.Duration(first)*standByStep + time.Duration(max(rank, 0)-first)*standByLater
}
