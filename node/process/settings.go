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
	// Callers is the address that serves callers, host:port.
	Callers string `json:"callers" required:"true"`
	// Ready is the address of the readiness endpoint, where the platform queries whether the box accepts callers, host:port.
	Ready string `json:"ready" required:"true"`
	// Peers is the address for other boxes of the system, host:port.
	Peers string `json:"peers" required:"true"`
	// Meeting is a second address for other boxes, which starting boxes use as a seed; empty for none.
	Meeting string `json:"meeting"`
	// Seeds are addresses of entry boxes through which this box discovers the others; they may be stale.
	Seeds []string `json:"seeds"`
	// Metrics is the address of counters and histograms, host:port; empty for none.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store, host:port.
	Store string `json:"store" required:"true"`
	// FirstStart states that the whole system starts for the first time. No caller is waiting then, so a box can wait to receive the contents of the store from other boxes.
	FirstStart bool `json:"first_start"`
	// AgentPort is the port of the agents on the boxes of targets; 0 if there are no agents.
	AgentPort int `json:"agent_port" min:"0" max:"65535"`
	// Bounds are the requirements of the platform that the system must meet.
	Bounds Bounds `json:"bounds"`
}

// Bounds are the requirements of the platform that the system must meet.
type Bounds struct {
	// Drain is how long a target may still receive new work after it was announced that it leaves.
	Drain settings.Duration `json:"drain" min:"100ms" max:"10m"`
	// Stop is the time after a request to stop at which the platform kills the process.
	Stop settings.Duration `json:"stop" min:"1s" max:"1h"`
	// ConfigApply is the time after its acceptance within which a configuration must be in force.
	ConfigApply settings.Duration `json:"config_apply" min:"100ms" max:"10m"`
	// Contact is how long a box must have been reachable before the bounds apply to it.
	Contact settings.Duration `json:"contact" min:"100ms" max:"10m"`
	// RetryShare is the number of retries that each request adds to the retry budget, over all boxes.
	RetryShare float64 `json:"retry_share" min:"0" max:"10"`
	// RetrySlack is the number of further retries allowed in each window, over all boxes.
	RetrySlack float64 `json:"retry_slack" min:"0" max:"1000000"`
	// RetryWindow is the length of the window for RetrySlack.
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
func DefaultEntrySettings() EntrySettings { return EntrySettings{Bounds: DefaultBounds()} }

// AgentSettings are the settings of an agent. Fields that are missing in the settings file have the
// values of DefaultAgentSettings.
type AgentSettings struct {
	// Box is the name of this box.
	Box string `json:"box" required:"true"`
	// Hall is the data hall of this box.
	Hall string `json:"hall" required:"true"`
	// Engine is the address of the model engine on the box of this agent, host:port.
	Engine string `json:"engine" required:"true"`
	// Peers is the address for other boxes of the system, host:port.
	Peers string `json:"peers" required:"true"`
	// Metrics is the address of counters and histograms, host:port; empty for none.
	Metrics string `json:"metrics"`
	// Bounds are the requirements of the platform that the system must meet.
	Bounds Bounds `json:"bounds"`
	// LinkMbps is the bandwidth of the network link of this box, in Mbit/s.
	LinkMbps float64 `json:"link_mbps" min:"0.1" max:"1000000"`
	// Horizon is how long planning of a map assumes the load to stay unchanged.
	Horizon settings.Duration `json:"horizon" min:"100ms" max:"1h"`
	// MaxCopyTime bounds how long a rank copies experts for one change of maps; the next change is planned after it. At least one expert may always be copied.
	MaxCopyTime settings.Duration `json:"most_copying" min:"0s" max:"1m"`
	// MinSaving is the time that a change of maps must save within the horizon, as a share of the horizon.
	MinSaving float64 `json:"least_saving" min:"0" max:"1"`
}

// DefaultAgentSettings returns the default settings of an agent. docs/EXPERTS.md explains the defaults
// for planning.
func DefaultAgentSettings() AgentSettings {
	return AgentSettings{
		Bounds:      DefaultBounds(),
		LinkMbps:    10,
		Horizon:     settings.Duration(2 * time.Second),
		MaxCopyTime: settings.Duration(150 * time.Millisecond),
		MinSaving:   0.08,
	}
}

// MaxCopies returns how many experts a rank may copy for one change of maps if each copy takes copyTime.
func (s AgentSettings) MaxCopies(copyTime time.Duration) int {
	if copyTime <= 0 {
		return 1
	}
	return max(1, int(s.MaxCopyTime.Std()/copyTime))
}
