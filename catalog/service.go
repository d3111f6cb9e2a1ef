package catalog

import (
	"time"

	"clovertrail.dev/core/domain"
)

// Organisation is a customer, identified by the keys of its requests.
type Organisation struct {
	Name domain.OrganisationName
	Keys []string
	// Priority takes precedence over the route's; 0 is the most urgent, a negative one counts as
	// urgency.DefaultPriority.
	Priority int
}

// Limits bound the size of a caller's requests and the time to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // maximum time to send the complete header
	IdleTimeout   time.Duration // maximum time that a connection may be idle
}

// DefaultLimits returns the limits in force until a configuration sets others. They are customary
// for HTTP servers.
func DefaultLimits() Limits {
	return Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
}

// Engine describes the step times and the expert layout of a service's model engines.
type Engine struct {
	StepTime              time.Duration // duration of one token step of a pass
	StepTimePerRequest    time.Duration // added to StepTime for each request that generates tokens
	PromptTokensPerSecond float64       // rate of prompt processing
	StepsPerPass          int           // token steps in a pass with generating requests
	Experts               *Experts      // nil for engines without expert groups
}

// Experts describes the dimensions of the expert maps of a service's groups, and the cost of changing
// them.
type Experts struct {
	Layers   int // sets of experts that are placed independently of each other
	PerLayer int // experts in a layer
	Slots    int // maximum number of experts of a layer on a rank
	// Staging is the number of new experts of a layer that a rank can copy in at once.
	Staging int
	// CopyTime is the time in which a rank copies in one expert.
	CopyTime time.Duration
	// Share is the fraction of the work that experts do, from 0 to 1.
	Share float64
	// FormTime is the time from the return of a group's last rank until the group opens.
	FormTime time.Duration
}

// Service describes a service that routes send requests to.
type Service struct {
	Name           domain.ServiceName
	HealthPath     string  // path of the health check that targets respond to
	MaxConnections int     // connections that a target accepts from all boxes together; 0 for no limit
	ColdRate       float64 // requests a second that a cold target takes from all boxes together; 0 if cold targets take as many as others
	Engine         *Engine // nil for a service without model engines
}
