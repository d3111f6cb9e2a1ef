package process

import (
	"time"

	"clovertrail.dev/settings"
)

// EntrySettings are the settings of an entry box. Fields that are missing in the settings file have the
// values of DefaultEntrySettings.
type EntrySettings struct {
	// Box is the name of this box.
	Box string `json:"box" required:"true"`
	// Hall is the data hall of this box.
	Hall string `json:"hall" required:"true"`
	// Callers is the address on which the box accepts the requests of callers, host:port.
	Callers string `json:"callers" required:"true"`
	// Ready is the address of the readiness endpoint, host:port. The platform queries there whether the box accepts callers.
	Ready string `json:"ready" required:"true"`
	// Peers is the address on which the box accepts messages of other boxes of the system, host:port.
	Peers string `json:"peers" required:"true"`
	// Meeting is a second address for messages of other boxes, host:port, which starting boxes may list in Seeds; empty for none.
	Meeting string `json:"meeting"`
	// Seeds are addresses of entry boxes through which this box discovers the others; they may be stale.
	Seeds []string `json:"seeds"`
	// Metrics is the address that serves counters and histograms, host:port; empty for none.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store, host:port.
	Store string `json:"store" required:"true"`
	// FirstStart states that the whole system starts for the first time. No callers are waiting then, so a box delays its first query of the store and may receive the records from other boxes instead.
	FirstStart bool `json:"first_start"`
	// AgentPort is the port of the agents on the boxes of targets; 0 if there are no agents.
	AgentPort int `json:"agent_port" min:"0" max:"65535"`
	// MemoryMB is the memory that the process may use, in megabytes. A quarter of it is for the bodies
	// of requests and parts of responses that the box holds.
	MemoryMB float64 `json:"memory_mb" min:"16" max:"1000000"`
	// Bounds are the requirements of the platform that the system must meet.
	Bounds Bounds `json:"bounds"`
	// Overload holds what the box does when requests exceed what targets can run.
	Overload Overload `json:"overload"`
}

// Overload holds what a box does when requests exceed what targets can run. Each field disables one mechanism.
type Overload struct {
	// InterpretReports states whether boxes distribute requests by what all boxes are expected to send until reports are renewed, in place of choosing the least loaded of some targets.
	InterpretReports bool `json:"interpret_reports"`
	// Shed states whether new callers are refused, the least urgent first, when a group runs as many requests as it can run in time.
	Shed bool `json:"shed"`
	// MaxQueued is the number of returning callers that wait while the group that would serve them is stopped; 0 for none.
	MaxQueued int `json:"max_queued" min:"0" max:"100000"`
	// FairShares states whether an organisation is refused in proportion to how far it exceeds its usual share.
	FairShares bool `json:"fair_shares"`
}

// DefaultOverload returns the defaults: everything enabled. A box of a large fleet receives a few requests a
// second, and its callers leave after seconds, so that a queue seldom has more than a few dozen.
func DefaultOverload() Overload {
	return Overload{InterpretReports: true, Shed: true, MaxQueued: 256, FairShares: true}
}

// heldShare is the share of the memory that is for the bytes of callers and targets.
const heldShare = 0.25

// softMemoryShare is the share of the memory from which the garbage collector works harder. The rest is for
// what it does not count: bytes in the buffers of connections.
const softMemoryShare = 0.8

// SoftMemoryLimit returns the memory limit of the garbage collector in bytes.
func (s EntrySettings) SoftMemoryLimit() int64 {
	return int64(s.MemoryMB * softMemoryShare * bytesPerMB)
}

// MaxHeldBytes returns how many bytes of requests and responses the box may hold.
func (s EntrySettings) MaxHeldBytes() int64 { return int64(s.MemoryMB * heldShare * bytesPerMB) }

const bytesPerMB = 1 << 20

// Bounds are the requirements of the platform that the system must meet.
type Bounds struct {
	// Drain is how long a target may still receive new work after the announcement that the target is leaving.
	Drain settings.Duration `json:"drain" min:"100ms" max:"10m"`
	// Stop is the time from the platform's request to stop the process until the platform kills it.
	Stop settings.Duration `json:"stop" min:"1s" max:"1h"`
	// ConfigApply is the time from the acceptance of a configuration until it must be in force.
	ConfigApply settings.Duration `json:"config_apply" min:"100ms" max:"10m"`
	// Evacuate is the time from the acceptance of an evacuation of a data hall until the hall's targets
	// must get no new work; 0 if the platform has no evacuations.
	Evacuate settings.Duration `json:"evacuate" min:"0s" max:"10m"`
	// Contact is how long a box must have been reachable before the bounds apply to it.
	Contact settings.Duration `json:"contact" min:"100ms" max:"10m"`
	// RetryShare is the number of retries that each request adds to the retry budget, over all boxes.
	RetryShare float64 `json:"retry_share" min:"0" max:"10"`
	// RetrySlack is the number of retries allowed in each RetryWindow in addition to those of RetryShare, over all boxes.
	RetrySlack float64 `json:"retry_slack" min:"0" max:"1000000"`
	// RetryWindow is the period to which RetrySlack applies.
	RetryWindow settings.Duration `json:"retry_window" min:"100ms" max:"10m"`
}

// DefaultBounds returns cautious values for a platform that does not state its own.
func DefaultBounds() Bounds {
	return Bounds{
		Drain:       settings.Duration(2 * time.Second),
		Stop:        settings.Duration(8 * time.Second),
		ConfigApply: settings.Duration(2 * time.Second),
		Contact:     settings.Duration(3 * time.Second),
		RetryShare:  0.1,
		RetrySlack:  10,
		RetryWindow: settings.Duration(10 * time.Second),
	}
}

// DefaultEntrySettings returns the default settings of an entry box.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{MemoryMB: 256, Bounds: DefaultBounds(), Overload: DefaultOverload()}
}

// AgentSettings are the settings of an agent. Fields that are missing in the settings file have the
// values of DefaultAgentSettings.
type AgentSettings struct {
	// Box is the name of this box.
	Box string `json:"box" required:"true"`
	// Hall is the data hall of this box.
	Hall string `json:"hall" required:"true"`
	// Engine is the address of the model engine on the box of this agent, host:port.
	Engine string `json:"engine" required:"true"`
	// Peers is the address on which the agent accepts messages of other boxes of the system, host:port.
	Peers string `json:"peers" required:"true"`
	// Metrics is the address that serves counters and histograms, host:port; empty for none.
	Metrics string `json:"metrics"`
	// Bounds are the requirements of the platform that the system must meet.
	Bounds Bounds `json:"bounds"`
	// LinkMbps is the bandwidth of the network link of this box, in Mbit/s.
	LinkMbps float64 `json:"link_mbps" min:"0.1" max:"1000000"`
	// Horizon is the time for which the planner of map changes assumes that the load stays unchanged.
	Horizon settings.Duration `json:"horizon" min:"100ms" max:"1h"`
	// MaxCopyTime limits the time for which a rank copies experts in one map change; further copies are left to later map changes. One expert may be copied even if that takes longer.
	MaxCopyTime settings.Duration `json:"most_copying" min:"0s" max:"1m"`
	// MinSaving is the time that a map change must save within the horizon, as a share of the horizon.
	MinSaving float64 `json:"least_saving" min:"0" max:"1"`
	// ShiftReads states whether the coordinator reads the demand at once after a step that lasted much longer than those before.
	ShiftReads bool `json:"shift_reads"`
}

// DefaultAgentSettings returns the default settings of an agent. docs/EXPERTS.md explains the defaults
// for the planning of map changes.
func DefaultAgentSettings() AgentSettings {
	return AgentSettings{
		Bounds:      DefaultBounds(),
		LinkMbps:    10,
		Horizon:     settings.Duration(2 * time.Second),
		MaxCopyTime: settings.Duration(150 * time.Millisecond),
		MinSaving:   0.08,
		ShiftReads:  true,
	}
}

// MaxCopies returns how many experts a rank may copy in one map change if each copy takes copyTime: at
// least one.
func (s AgentSettings) MaxCopies(copyTime time.Duration) int {
	if copyTime <= 0 {
		return 1
	}
	return max(1, int(s.MaxCopyTime.Std()/copyTime))
}
