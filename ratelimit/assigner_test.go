package ratelimit_test

import (
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/ratelimit"
)

// TestFormerTurnsAreDropped guards against boxes that wait for a turn of an issuer that has left, or of
// their fallback share after the issuer replies, while a target that is short of capacity gets nothing.
func TestFormerTurnsAreDropped(t *testing.T) {
	const first, second = domain.BoxID("first"), domain.BoxID("second")
	declined := func(a *ratelimit.Allocator) {
		a.RequestSent(first)
		a.RequestDeclined(at(0), first)
	}
	for _, tc := range []struct {
		name   string
		by     domain.BoxID // assigner of the turn; empty for the fallback share
		issuer domain.BoxID // the present issuer
		events func(*ratelimit.Allocator)
		kept   bool
	}{
		{"same issuer", first, first, func(*ratelimit.Allocator) {}, true},
		{"this box is the issuer", "self", "self", func(*ratelimit.Allocator) {}, true},
		{"another issuer", first, second, func(*ratelimit.Allocator) {}, false},
		{"this box becomes the issuer", first, "self", func(*ratelimit.Allocator) {}, false},
		{"no issuer any more", first, "", func(*ratelimit.Allocator) {}, false},
		{"the issuer declines", first, first, declined, false},
		{"fallback share while the issuer declines", "", first, declined, true},
		{"fallback share without an issuer", "", "", func(*ratelimit.Allocator) {}, true},
		{"fallback share, the issuer replies", "", first, func(a *ratelimit.Allocator) {
			declined(a)
			a.RequestSent(first)
			a.ReplyReceived(service, first, true)
		}, false},
	} {
		a, r := ratelimit.NewAllocator("self", source()), ratelimit.NewRegister(source())
		turn := at(5 * time.Second)
		for _, id := range []domain.InstanceID{limited, "of another service"} {
			r.Update(at(0), ratelimit.Report{Target: id, Limit: call.Limited{PerSecond: 1}, At: at(0)})
		}
		r.SetTurn(ratelimit.Assigner{Service: service, Issuer: tc.by}, ratelimit.Turn{Target: limited, At: turn})
		r.SetTurn(ratelimit.Assigner{Service: "another", Issuer: first}, ratelimit.Turn{Target: "of another service", At: turn})
		tc.events(a)
		r.DropFormerTurns(a.Assigner(service, tc.issuer))
		if kept := !r.TurnDue(at(time.Second), limited); kept != tc.kept {
			t.Errorf("%s: turn kept %v, want %v", tc.name, kept, tc.kept)
		}
		if r.TurnDue(at(time.Second), "of another service") {
			t.Errorf("%s: the turn at a target of another service was dropped", tc.name)
		}
		if got := slices.Contains(r.ServicesWithTurns(at(time.Second)), service); got != tc.kept {
			t.Errorf("%s: the service is listed among those with turns: %v, want %v", tc.name, got, tc.kept)
		}
		if got := r.ServicesWithTurns(turn); len(got) > 0 {
			t.Errorf("%s: services %v have turns after these are due, want none", tc.name, got)
		}
	}
}
