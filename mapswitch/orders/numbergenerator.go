package orders

// NumberGenerator generates the fences and versions of one process. It uses no clock: the
// clocks of boxes are set back and forth, also while a process is not running, and a
// process that restarted with its clock behind could generate a number again that already
// stands for another map.
//
// A version is higher than all that the ranks of the group have reported, and differs from
// those of every other process by the rank and by a salt, drawn at the start: orders of a
// process that has ended may still be in transit. A fence is higher than all earlier ones
// of this process and than those from which the versions were derived that ranks have reported;
// as soon as a rank reports that it has received a higher one, it exceeds that within a few attempts.
type NumberGenerator struct {
	salt      Version
	lastFence Fence
}

const (
	// saltBits is the length of the salt: two processes at one rank get the same salt once
	// in 65,536 restarts, and even then their versions differ unless their sequence numbers
	// are equal.
	saltBits = 16
	// fenceRaiseFactor and fenceRaiseStep raise the fence above those that ranks have
	// received: after four outranked attempts of a new process, the next fence exceeds four
	// million.
	fenceRaiseFactor, fenceRaiseStep = 16, 1000
	// maxRaisedFence bounds how far the fence is raised: for groups of up to 512 ranks, a
	// version derived from a lower fence fits into 53 bits, so that any reader of JSON reads
	// the version exactly.
	maxRaisedFence Fence = 1 << 28
)

// NewNumberGenerator returns the generator of a process that has not generated any numbers.
func NewNumberGenerator(salt uint16) *NumberGenerator { return &NumberGenerator{salt: Version(salt)} }

// fence returns a fence higher than all before.
func (n *NumberGenerator) fence() Fence {
	n.lastFence++
	return n.lastFence
}

// skipTo makes the next fence higher than those from which the version was derived: a new process
// would otherwise be outranked by the orders of the previous one.
func (n *NumberGenerator) skipTo(highest Version, ranks int) {
	derived := Fence(min(highest/Version(ranks)>>saltBits, Version(maxRaisedFence/fenceRaiseFactor-1)))
	n.lastFence = max(n.lastFence, derived)
}

// raiseFence raises the next fence, after a rank reported that it received a higher one.
func (n *NumberGenerator) raiseFence() {
	if n.lastFence < maxRaisedFence/fenceRaiseFactor {
		n.lastFence = n.lastFence*fenceRaiseFactor + fenceRaiseStep
	}
}

// version returns a version higher than highest for the coordinator at the rank, in a group
// of the given number of ranks.
func (n *NumberGenerator) version(highest Version, rank, ranks int) Version {
	sequence := max(Version(n.fence()), highest/Version(ranks)>>saltBits+1)
	return (sequence<<saltBits|n.salt)*Version(ranks) + Version(rank)
}
