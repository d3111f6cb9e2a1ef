package orders

// NumberGenerator gives the fences and versions of one process. They need no clock: boxes' clocks
// are set back and forth, also while a process is away, and a process that started again
// behind its own past would give numbers anew that stand for other maps.
//
// A version is above all that any rank of the group is seen to have, and differs from
// those of every other process by the rank and by a salt, drawn at the start: orders of a
// process that is gone may still be on their way. A fence is above this process's own and,
// as soon as a rank reports that it has seen a higher one, above that within a few attempts.
type NumberGenerator struct {
	salt Version
	last Fence
}

const (
	// saltBits is the length of the salt: two processes at one rank get the same one once
	// in 65,536 restarts, and even then their versions differ unless their turns do not.
	saltBits = 16
	// raiseTimes and raiseBy put a fence above those that ranks have seen: after three
	// attempts above four million of them.
	raiseTimes, raiseBy = 16, 1000
	// fenceMost bounds how far fences are raised: a version made of one has 53 bits for
	// groups of up to 512 ranks, which any reader of JSON keeps.
	fenceMost Fence = 1 << 28
)

// NewNumberGenerator returns the numbers of a process that has given none.
func NewNumberGenerator(salt uint16) *NumberGenerator { return &NumberGenerator{salt: Version(salt)} }

// fence is higher each time.
func (n *NumberGenerator) fence() Fence {
	n.last++
	return n.last
}

// outranked: a rank has seen a higher fence.
func (n *NumberGenerator) outranked() {
	if n.last < fenceMost/raiseTimes {
		n.last = n.last*raiseTimes + raiseBy
	}
}

// version gives a version above the floor for the rank's coordinator in a group of so many.
func (n *NumberGenerator) version(floor Version, rank, ranks int) Version {
	turn := max(Version(n.fence()), floor/Version(ranks)>>saltBits+1)
	return (turn<<saltBits|n.salt)*Version(ranks) + Version(rank)
}
