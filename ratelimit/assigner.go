package ratelimit

import (
	"time"

	"clovertrail.dev/core/domain"
)

// Assigner is the origin of turns: the issuer of the permits of a service, or the fallback share of this box.
// A turn counts only while permits come from its assigner. A box that waited for a turn of another one
// would request none of the permits that it might get meanwhile.
type Assigner struct {
	Service domain.ServiceName
	Issuer  domain.BoxID // empty for the fallback share of this box
}

// Assigner returns the assigner of this box's turns at the targets of the service. issuer is the box that
// issues the permits of the service, and empty if none is known.
func (a *Allocator) Assigner(svc domain.ServiceName, issuer domain.BoxID) Assigner {
	if p, ok := a.peers[issuer]; ok && p.failures > 0 {
		issuer = ""
	}
	return Assigner{Service: svc, Issuer: issuer}
}

// ServicesWithTurns returns the services at whose targets this box waits for a turn.
func (r *Register) ServicesWithTurns(now time.Time) []domain.ServiceName {
	var list []domain.ServiceName
	seen := map[domain.ServiceName]bool{}
	for _, e := range r.entries {
		if svc := e.turnBy.Service; now.Before(e.turn) && !seen[svc] {
			seen[svc] = true
			list = append(list, svc)
		}
	}
	return list
}

// DropFormerTurns drops the turns at the targets of by's service that another assigner than by assigned.
func (r *Register) DropFormerTurns(by Assigner) {
	for _, e := range r.entries {
		if e.turnBy.Service == by.Service && e.turnBy != by {
			e.turn = time.Time{}
		}
	}
}
