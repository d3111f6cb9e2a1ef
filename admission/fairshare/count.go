package fairshare

import (
	"cmp"
	"slices"

	"clovertrail.dev/core/domain"
)

// Count is the number of requests of new callers of one organisation at one box since the box last
// sent its counts.
type Count struct {
	Service domain.ServiceName
	// Class is the rank of the requests' class among the classes of the service, from 0.
	Class int
	// Organisation is empty for requests without an organisation, and if Rest is set.
	Organisation domain.OrganisationName
	// Rest reports that the count is that of all organisations of the service and the class that have no
	// count of their own.
	Rest     bool
	Requests int
}

// pool returns the pool that the count belongs to.
func (c Count) pool() poolKey { return poolKey{c.Service, c.Class} }

// member returns the member of the pool that the count belongs to.
func (c Count) member() member { return member{c.Organisation, c.Rest} }

const (
	// maxBytes bounds the counts of one message. A box sends them to eight others a second
	// (membership.AdvertFanout), which is less than a kilobyte.
	maxBytes = 124
	// Bytes of a message in addition to names and numbers: of the counts as a whole, and for a service and
	// class with the largest number of the rest.
	messageOverhead, poolOverhead = 6, 7
)

// headBytes returns the bytes of an encoded number, which are also those before a text of that length.
func headBytes(n int) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	default:
		return 5
	}
}

// bytes returns the bytes of the count in a message, without its service and class.
func (c Count) bytes() int {
	return 1 + headBytes(len(c.Organisation)) + len(c.Organisation) + headBytes(c.Requests)
}

// poolBytes returns the bytes of the service and class of the count.
func (c Count) poolBytes() int {
	return poolOverhead + headBytes(len(c.Service)) + len(c.Service) + headBytes(c.Class)
}

// bounded returns the largest of the counts that fit into a message, and for their services and classes
// that of the rest. Of equal counts, those that come first in the list take precedence.
func bounded(counts []Count) []Count {
	sorted := slices.Clone(counts)
	slices.SortStableFunc(sorted, func(a, b Count) int { return cmp.Compare(b.Requests, a.Requests) })
	var named []Count
	rest := map[poolKey]int{}
	for _, c := range sorted {
		rest[c.pool()] += c.Requests
	}
	var pools []poolKey // that the message names
	free := maxBytes - messageOverhead
	for _, c := range sorted {
		size := c.bytes()
		first := !slices.Contains(pools, c.pool())
		if first {
			size += c.poolBytes()
		}
		if size > free {
			continue
		}
		if first {
			pools = append(pools, c.pool())
		}
		free -= size
		named = append(named, c)
		rest[c.pool()] -= c.Requests
	}
	for _, p := range pools {
		if rest[p] > 0 {
			named = append(named, Count{Service: p.service, Class: p.class, Rest: true, Requests: rest[p]})
		}
	}
	return named
}
