package domain

import "clovertrail.dev/core/fault"

// The names of the objects of the system.
type (
	// ServiceName identifies a service.
	ServiceName string
	// OrganisationName identifies an organisation.
	OrganisationName string
	// GroupName identifies an expert-parallel group.
	GroupName string
	// HallName identifies a data hall.
	HallName string
	// BoxID identifies an entry box or a target box.
	BoxID string
)

// Incarnation counts the starts of the process on a box. A restarted or replaced
// box has a higher one, so that outdated messages can be distinguished from current ones.
type Incarnation uint64

func invalid(field, format string, args ...any) error {
	return fault.New(fault.InvalidObject, field+": "+format, args...).Field(field)
}
