package process

import (
	"time"

	"clovertrail.dev/settings"
)

// EntrySettings are the settings of an entry box. DefaultEntrySettings gives the
// values of fields that the file does not name.
type EntrySettings struct {
	// Box is the name of this box.
	Box string `json:"box" required:"true"`
	// Hall is the data hall in which the box stands.
	Hall string `json:"hall" required:"true"`
	// Callers is the address for callers' requests, host:port.
	Callers string `json:"callers" required:"true"`
	// Ready is the address at which the platform asks whether the box takes callers, host:port.
	Ready string `json:"ready" required:"true"`
	// Peers is the address for other boxes of the system, host:port.
	Peers string `json:"peers" required:"true"`
	// Meeting is a second address for other boxes, under which those that start know this one as a seed; empty for none.
	Meeting string `json:"meeting"`
	// Seeds are addresses of entry boxes to meet the others through; they may be stale.
	Seeds []string `json:"seeds"`
	// Metrics is the address of counters and histograms, host:port; empty for none.
	Metrics string `json:"metrics"`
	// Store is the address of the platform's store, host:port.
	Store string `json:"store" required:"true"`
	// FirstStart reports that the whole system starts for the first time, so that no caller waits and a box can wait for others to tell it what the store holds.
	FirstStart bool `json:"first_start"`
	// AgentPort is the port of agents on the boxes of targets; 0 where there are none.
	AgentPort int `json:"agent_port" min:"0" max:"65535"`
	// Bounds are what the platform holds the system to.
	Bounds Bounds `json:"bounds"`
}

// Bounds are what the platform holds the system to.
type Bounds struct {
	// Drain is how long after news of a target's leaving it may still get new work.
	Drain settings.Duration `json:"drain" min:"100ms" max:"10m"`
	// Stop is how long after a request to stop the process is killed.
	Stop settings.Duration `json:"stop" min:"1s" max:"1h"`
	// ConfigApply is how long after its acceptance a configuration must be in force.
	ConfigApply settings.Duration `json:"config_apply" min:"100ms" max:"10m"`
	// Contact is how long a box must have been in reach before it is held to the bounds.
	Contact settings.Duration `json:"contact" min:"100ms" max:"10m"`
	// RetryShare is how many further attempts each request pays for, over all boxes.
	RetryShare float64 `json:"retry_share" min:"0" max:"10"`
	// RetrySlack is how many further attempts are free in a window, over all boxes.
	RetrySlack float64 `json:"retry_slack" min:"0" max:"1000000"`
	// RetryWindow is the length of that window.
	RetryWindow settings.Duration `json:"retry_window" min:"100ms" max:"10m"`
}

// DefaultBounds are cautious values for a platform that does not name its own.
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

// AgentSettings are the settings of an agent. DefaultAgentSettings gives the values
// of fields that the file does not name.
type AgentSettings struct {
	// Box is the name of this box.
	Box string `json:"box" required:"true"`
	// Hall is the data hall in which the box stands.
	Hall string `json:"hall" required:"true"`
	// Engine is the address of the model engine beside this agent, host:port.
	Engine string `json:"engine" required:"true"`
	// Peers is the address for other boxes of the system, host:port.
	Peers string `json:"peers" required:"true"`
	// Metrics is the address of counters and histograms, host:port; empty for none.
	Metrics string `json:"metrics"`
	// Bounds are what the platform holds the system to.
	Bounds Bounds `json:"bounds"`
	// LinkMbps is what this box's link carries, in Mbit/s.
	LinkMbps float64 `json:"link_mbps" min:"0.1" max:"1000000"`
	// Horizon is for how long demand is taken to stay as it is when a map is planned.
	Horizon settings.Duration `json:"horizon" min:"100ms" max:"1h"`
	// MaxCopyTime bounds how long a rank copies experts for one change of maps; after it the next is planned. One expert is always copied.
	MaxCopyTime settings.Duration `json:"most_copying" min:"0s" max:"1m"`
	// MinSaving is the share of the time within the horizon that a change of maps must save.
	MinSaving float64 `json:"least_saving" min:"0" max:"1"`
}

// DefaultAgentSettings returns the default settings of an agent; docs/EXPERTS.md has the grounds
// of those of planning.
func DefaultAgentSettings() AgentSettings {
	return AgentSettings{
		Bounds:      DefaultBounds(),
		LinkMbps:    10,
		Horizon:     settings.Duration(2 * time.Second),
		MaxCopyTime: settings.Duration(150 * time.Millisecond),
		MinSaving:   0.08,
	}
}

// MaxCopies is how many experts a rank may copy for one change of maps if each takes so
// long.
func (s AgentSettings) MaxCopies(each time.Duration) int {
	if each <= 0 {
		return 1
	}
	return max(1, int(s.MaxCopyTime.Std()/each))
}
