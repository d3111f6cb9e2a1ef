package orders

import "time"

const (
	// standbyStep is the additional delay of each of the first ranks relative to the
	// preceding rank: the time of a round of reads, after which a rank has received a read
	// from the preceding rank if that rank coordinates.
	standbyStep = 50 * time.Millisecond
	// standbySteps is the number of ranks with a delay of standbyStep. It is unlikely that
	// all of them fail at once, so each later rank adds only laterStandbyStep.
	standbySteps     = 10
	laterStandbyStep = 8 * time.Millisecond
)

// StandbyDelay returns how much longer than the first rank the rank waits before it
// coordinates, when agents start together or the coordinator stops responding. If all
// ranks took over at once, they would make each other's attempts fail until they received
// each other's reads, with the group held meanwhile.
func StandbyDelay(rank int) time.Duration {
	steps := min(max(rank, 0), standbySteps)
	return time.Duration(steps)*standbyStep + time.Duration(max(rank, 0)-steps)*laterStandbyStep
}
