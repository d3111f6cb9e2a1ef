package domain

import "clovertrail.dev/core/fault"

// The names by which things are known.
type (
	// ServiceName names a service.
	ServiceName string
	// OrganisationName names an organisation.
	OrganisationName string
	// GroupName names an expert group.
	GroupName string
	// HallName names a data hall.
	HallName string
	// BoxID names a box, be it an entry box or a target box.
	BoxID string
)

// Incarnation counts the starts of the process on a box. A restarted or replaced
// box has a higher one, so that old news can be distinguished from new.
type Incarnation uint64

func invalid(field, format string, args ...any) error {
	return fault.New(fault.InvalidObject, field+": "+format, args...).Field(field)
}
