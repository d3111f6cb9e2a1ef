package catalog

import (
	"time"

	"clovertrail.dev/core/domain"
)

// Organisation is a customer as requests see it.
type Organisation struct {
	Name     domain.OrganisationName
	Keys     []string
	Priority int // 0 is the most urgent; goes before the route's
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // to send the whole head
	IdleTimeout   time.Duration // a connection may rest
}

// DefaultLimits hold until a configuration sets others. They are the customary
// ones of HTTP servers.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Engine is what a service's model engines cost and hold.
type Engine struct {
	StepTime              time.Duration // one token step of a pass
	StepTimePerRequest    time.Duration // more for each request that writes
	PromptTokensPerSecond float64       // prompt tokens read a second
	StepsPerPass          int           // token steps in a pass with writers
	Experts               *Experts      // nil for engines without expert groups
}

// Experts is the shape of the expert maps of a service's groups.
type Experts struct {
	Layers   int // sets of experts that are placed by themselves
	PerLayer int // experts of a layer
	Slots    int // experts of a layer that a rank holds at the most
	// Staging is how many experts of a layer, new to it, a rank takes in at once.
	Staging int
	// CopyTime is how long a rank takes to copy in one expert.
	CopyTime time.Duration
	// Share is the part of the work that goes to experts, from 0 to 1.
	Share float64
	// FormTime is how long a group takes to open after its last rank is back.
	FormTime time.Duration
}

// Service is what stands behind routes.
type Service struct {
	Name           domain.ServiceName
	MaxConnections int     // that a target takes from all boxes together; 0 for no bound
	Engine         *Engine // nil for a plain service
}
