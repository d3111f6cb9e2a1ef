package mesh_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
)

// FuzzMessages decodes any bytes as each message that another process may send, and takes
// it apart as its receivers do.
func FuzzMessages(f *testing.F) {
	hold := orders.Step(7)
	for _, m := range []any{
		&mesh.Advert{Self: mesh.Contact{Box: "b"}, Complaints: []mesh.Complaint{{Target: "t", By: "b", Ago: 5}}, Works: []mesh.WorkWord{{Digest: "d", Target: "t", Ago: 5}}},
		&mesh.Pulled{At: 3, Targets: []mesh.TargetNews{{ID: "t", Revision: 2, Target: &domain.TargetFields{ID: "t"}}}},
		&mesh.RankReport{Group: "g", Size: 2, Picked: mesh.Pack([]uint64{3, 1000})},
		&mesh.Gathered{Ranks: []mesh.RankWord{{Rank: 1, Held: &hold}}, Picked: mesh.Pack([]uint64{1})},
		&mesh.HallReport{Targets: []mesh.Sighting{{ID: "t"}}},
		mesh.CallOf(orders.Call{Order: orders.Hold{Step: 4}}),
	} {
		raw, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var pulled mesh.Pulled
		if cbor.Unmarshal(raw, &pulled) == nil {
			news, err := pulled.News()
			for _, n := range news {
				if err == nil && n.Target != nil && n.Target.Address() == "" {
					t.Errorf("%x: a target without an address", raw)
				}
			}
		}
		var report mesh.RankReport
		if cbor.Unmarshal(raw, &report) == nil && report.Picked != nil {
			mesh.Sum([]*mesh.Picked{report.Picked, nil, mesh.Pack([]uint64{1, 2})})
		}
		var word mesh.RankWord
		if cbor.Unmarshal(raw, &word) == nil {
			word.Report()
		}
		var call mesh.OrderCall
		if cbor.Unmarshal(raw, &call) == nil && call.Order() != nil {
			orders.Describe(call.Order())
		}
		for _, m := range []any{&mesh.Advert{}, &mesh.HallReport{}, &mesh.Gathered{}, &mesh.WatchQuery{}, &mesh.DealCall{}} {
			_ = cbor.Unmarshal(raw, m) // refused or read, but never a panic
		}
	})
}
