package mesh_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
)

// FuzzMessages decodes arbitrary bytes as each message that another process may send, and converts the
// messages as receivers do.
func FuzzMessages(f *testing.F) {
	hold := orders.Step(7)
	for _, m := range []any{
		&mesh.Advert{Self: mesh.Contact{Box: "b"}, FailureReports: []mesh.FailureReport{{Target: "t", By: "b", Age: 5}}, WorkObservations: []mesh.WorkObservation{{Digest: "d", Target: "t", Age: 5}}, ClearedEnds: []mesh.WorkObservation{{Digest: "d", Target: "t", Age: 5}}, Trials: []mesh.WorkTrial{{Digest: "d", After: 5}}, Lifts: []mesh.WorkLift{{Digest: "d", Age: 5}}, Limits: []mesh.LimitReport{{Target: "t", Age: 5}}, Organisations: []mesh.RequestCounts{{Service: "s", Class: 1, Rest: 2, Organisations: []mesh.OrganisationCount{{Organisation: "o", Requests: 3}}}}},
		&mesh.PermitQuery{Service: "s", Limits: []mesh.LimitReport{{Target: "t", Age: 5}}},
		&mesh.PermitReply{Issuer: true, Target: "t", Permits: 2, Turns: []mesh.PermitTurn{{Target: "u", Wait: 5}}},
		&mesh.PullReply{At: pos(3), Targets: []mesh.TargetUpdate{{ID: "t", At: pos(2), Target: &domain.TargetFields{ID: "t"}}}},
		&mesh.RankReport{Group: "g", Size: 2, ExpertCounts: mesh.NewExpertCounts([]uint64{3, 1000})},
		&mesh.GatherReply{Ranks: []mesh.RankStatus{{Rank: 1, Held: &hold}}, ExpertCounts: mesh.NewExpertCounts([]uint64{1})},
		&mesh.HallReport{Targets: []mesh.TargetStatus{{ID: "t"}}},
		mesh.NewOrderCall(orders.Call{Order: orders.Hold{Step: 4}}),
	} {
		raw, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var reply mesh.PullReply
		if cbor.Unmarshal(raw, &reply) == nil {
			updates, err := reply.TargetUpdates(now)
			for _, u := range updates {
				if err == nil && u.Target != nil && u.Target.Address() == "" {
					t.Errorf("%x: a target without an address was accepted", raw)
				}
			}
		}
		var report mesh.RankReport
		if cbor.Unmarshal(raw, &report) == nil && report.ExpertCounts != nil {
			mesh.SumExpertCounts([]*mesh.ExpertCounts{report.ExpertCounts, nil, mesh.NewExpertCounts([]uint64{1, 2})})
		}
		var status mesh.RankStatus
		if cbor.Unmarshal(raw, &status) == nil {
			status.Report()
		}
		var order mesh.OrderCall
		if cbor.Unmarshal(raw, &order) == nil && order.Order() != nil {
			orders.Describe(order.Order())
		}
		checkLimits(t, raw)
		checkRequestCounts(t, raw)
		for _, m := range []any{&mesh.PermitReply{}, &mesh.Advert{}, &mesh.HallReport{}, &mesh.GatherReply{}, &mesh.WatchQuery{}, &mesh.FanOutCall{}} {
			_ = cbor.Unmarshal(raw, m) // may fail, but must not panic
		}
	})
}

// checkLimits verifies that only limits which a target can announce are accepted.
func checkLimits(t *testing.T, raw []byte) {
	var query mesh.PermitQuery
	if cbor.Unmarshal(raw, &query) != nil {
		return
	}
	for _, r := range query.Limits {
		report, ok := r.Report(time.Unix(1000, 0))
		if l, limited := report.Limit.(call.Limited); ok && limited && !(l.PerSecond >= 0 && l.PerSecond < 1e9) {
			t.Errorf("%x: a limit of %v a second was accepted", raw, l.PerSecond)
		}
	}
}

// checkRequestCounts verifies that only counts which a box can have are accepted.
func checkRequestCounts(t *testing.T, raw []byte) {
	var a mesh.Advert
	if cbor.Unmarshal(raw, &a) != nil {
		return
	}
	counts, _ := mesh.Counts(a.Organisations)
	for _, c := range counts {
		if c.Requests <= 0 || c.Requests > 1e6 || c.Class < 0 || c.Service == "" {
			t.Errorf("%x: the count %+v was accepted", raw, c)
		}
	}
}
