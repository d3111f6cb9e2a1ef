package mesh

import (
	"clovertrail.dev/admission/fairshare"
	"clovertrail.dev/core/domain"
)

// RequestCounts are the requests of new callers at the sending box, of one class of a service, since it
// last sent its counts. An advert contains a few, so they are encoded as arrays, without names of fields.
type RequestCounts struct {
	_       struct{} `cbor:",toarray"`
	Service domain.ServiceName
	Class   int // rank of the class among those of the service
	// Rest is the number of requests of the organisations that are not listed.
	Rest          int
	Organisations []OrganisationCount
}

// OrganisationCount is the number of requests of one organisation.
type OrganisationCount struct {
	_            struct{}                `cbor:",toarray"`
	Organisation domain.OrganisationName // empty for requests without an organisation
	Requests     int
}

const (
	// maxRequests is more than a box can serve in the seconds that counts are about.
	maxRequests = 100_000
	// maxClass is more than the classes of any service: a class needs a priority of its own.
	maxClass = 1000
	// maxNameBytes is more than the length of any name that fits into a box's counts.
	maxNameBytes = 255
)

// NewRequestCounts encodes counts.
func NewRequestCounts(counts []fairshare.Count) []RequestCounts {
	var list []RequestCounts
	for _, c := range counts {
		r := entryFor(&list, c)
		if c.Rest {
			r.Rest += c.Requests
		} else {
			r.Organisations = append(r.Organisations, OrganisationCount{Organisation: c.Organisation, Requests: c.Requests})
		}
	}
	return list
}

// entryFor returns the entry for the service and class of the count. It adds one if there is none.
func entryFor(list *[]RequestCounts, c fairshare.Count) *RequestCounts {
	for i := range *list {
		if r := &(*list)[i]; r.Service == c.Service && r.Class == c.Class {
			return r
		}
	}
	*list = append(*list, RequestCounts{Service: c.Service, Class: c.Class})
	return &(*list)[len(*list)-1]
}

// Counts decodes the counts. It leaves out those that no box can have, and returns their number.
func Counts(list []RequestCounts) (valid []fairshare.Count, invalid int) {
	for _, r := range list {
		if r.Rest != 0 {
			r.Organisations = append(r.Organisations, OrganisationCount{Requests: r.Rest})
		}
		for i, o := range r.Organisations {
			c := fairshare.Count{
				Service: r.Service, Class: r.Class, Organisation: o.Organisation, Requests: o.Requests,
				Rest: r.Rest != 0 && i == len(r.Organisations)-1,
			}
			if plausible(c) {
				valid = append(valid, c)
			} else {
				invalid++
			}
		}
	}
	return valid, invalid
}

// plausible reports whether a box can have the count.
func plausible(c fairshare.Count) bool {
	return c.Requests > 0 && c.Requests <= maxRequests && c.Class >= 0 && c.Class <= maxClass &&
		c.Service != "" && len(c.Service) <= maxNameBytes && len(c.Organisation) <= maxNameBytes
}
