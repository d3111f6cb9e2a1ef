package mesh_test

import (
	"context"
	"errors"
	"net"
	"reflect"
	"testing"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/store"
)

// serve runs a server with the handlers and returns its address.
func serve(t *testing.T, m *mesh.Mux) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = mesh.Serve(ctx, l, m)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

func newClient(t *testing.T) *mesh.Client {
	return newObservedClient(t, func(mesh.Method, int, int) {})
}

func newObservedClient(t *testing.T, onCall func(name mesh.Method, sent, received int)) *mesh.Client {
	c := mesh.NewClient(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}, onCall)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func callContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsReturnRepliesAndErrors(t *testing.T) {
	m := mesh.NewMux()
	mesh.Handle(m, mesh.ExchangeAdverts, func(_ context.Context, a *mesh.Advert) (*mesh.Advert, error) {
		a.Hall += "!"
		return a, nil
	})
	mesh.Handle(m, mesh.Pull, func(context.Context, *mesh.PullQuery) (*mesh.PullReply, error) {
		return nil, errors.New("no")
	})
	address, client := serve(t, m), newClient(t)
	for range 3 { // the first call opens a connection, the others reuse it
		got, err := mesh.Call[mesh.Advert, mesh.Advert](callContext(t), client, address, mesh.ExchangeAdverts, &mesh.Advert{Hall: "near", Config: catalog.Edition{Version: 7, At: pos(8)}})
		if err != nil || got.Hall != "near!" || got.Config != (catalog.Edition{Version: 7, At: pos(8)}) {
			t.Fatalf("got %+v, %v", got, err)
		}
	}
	if _, err := mesh.Call[mesh.PullQuery, mesh.PullReply](callContext(t), client, address, mesh.Pull, &mesh.PullQuery{}); err == nil {
		t.Error("no error from a call whose handler failed")
	}
	if _, err := mesh.Call[mesh.ReadQuery, mesh.RankReport](callContext(t), client, address, mesh.Read, &mesh.ReadQuery{}); err == nil {
		t.Error("no error from a call without a handler")
	}
	if _, err := mesh.Call[mesh.Advert, mesh.Advert](callContext(t), client, address, mesh.ExchangeAdverts, &mesh.Advert{}); err != nil {
		t.Errorf("call after failed calls: %v", err)
	}
}

// TestClientReportsBytesOfCalls checks that the messages of each call are counted under its name, so
// that operators can tell what a box sends.
func TestClientReportsBytesOfCalls(t *testing.T) {
	m := mesh.NewMux()
	mesh.Handle(m, mesh.QueryHall, func(context.Context, *mesh.HallQuery) (*mesh.HallReport, error) {
		return &mesh.HallReport{Targets: make([]mesh.TargetStatus, 100)}, nil
	})
	var name mesh.Method
	var sent, received int
	client := newObservedClient(t, func(n mesh.Method, s, r int) { name, sent, received = n, s, r })
	_, err := mesh.Call[mesh.HallQuery, mesh.HallReport](callContext(t), client, serve(t, m), mesh.QueryHall, &mesh.HallQuery{All: true})
	if err != nil || name != mesh.QueryHall || sent == 0 || sent > 20 || received < 800 {
		t.Errorf("call %s with %d bytes sent and %d received, error %v", name, sent, received, err)
	}
}

func TestOrderCallRoundTrip(t *testing.T) {
	m := mesh.NewMux()
	var got orders.Order
	mesh.Handle(m, mesh.SendOrder, func(_ context.Context, c *mesh.OrderCall) (*mesh.OrderReply, error) {
		got = c.Order()
		return &mesh.OrderReply{Result: orders.Refused}, nil
	})
	address, client := serve(t, m), newClient(t)
	for _, o := range []orders.Order{
		orders.Prepare{Version: 3, Map: orders.Placement{{{0, 1}, {1}}}}, orders.Arm{Version: 3, Step: 9},
		orders.Disarm{Version: 3}, orders.Hold{Step: 9}, orders.Release{Step: 9},
	} {
		reply, err := mesh.Call[mesh.OrderCall, mesh.OrderReply](callContext(t), client, address, mesh.SendOrder, mesh.NewOrderCall(orders.Call{Epoch: 2, Order: o}))
		if err != nil || reply.Result != orders.Refused || !reflect.DeepEqual(got, o) {
			t.Errorf("%T received as %+v; reply %+v, %v", o, got, reply, err)
		}
	}
	if (&mesh.OrderCall{}).Order() != nil {
		t.Error("a call without an order returned an order")
	}
}

func TestTargetUpdatesRoundTripAndValidation(t *testing.T) {
	target, err := domain.NewTarget(domain.TargetFields{
		ID: "i-1", Service: "s", Address: "10.0.0.1:80", Hall: "near", State: domain.TargetReady, Slots: 4,
		Rank: &domain.Rank{Group: "g", Epoch: 2, Number: 1, Size: 2, Open: true}, ColdUntil: now.Add(3 * time.Second),
	})
	if err != nil {
		t.Fatal(err)
	}
	updates := []membership.TargetUpdate{{ID: "i-1", At: pos(9), Target: &target}, {ID: "i-2", At: pos(10)}}
	p := &mesh.PullReply{At: pos(10), Targets: mesh.NewTargetUpdates(now, updates)}
	decoded, err := p.TargetUpdates(now)
	if err != nil || !reflect.DeepEqual(decoded, updates) {
		t.Errorf("got %+v, %v", decoded, err)
	}
	p.Targets[0].Target.Address = ""
	if _, err := p.TargetUpdates(now); err == nil {
		t.Error("a target without an address was accepted")
	}
}

// TestInvalidTargetOfPeerHidesNoOther guards against a box that no longer follows the targets, since the list of a peer has one that it takes
// for invalid, for example because the peer runs an earlier version.
func TestInvalidTargetOfPeerHidesNoOther(t *testing.T) {
	p := &mesh.PullReply{At: pos(10)}
	for _, address := range []string{"10.0.0.1:80", "10.0.0.2:70000", "10.0.0.3:80"} {
		p.Targets = append(p.Targets, mesh.TargetUpdate{ID: domain.InstanceID("i-" + address[7:8]), At: pos(9), Target: &domain.TargetFields{
			ID: domain.InstanceID("i-" + address[7:8]), Service: "s", Address: address, Hall: "near", State: domain.TargetReady, Slots: 4,
		}})
	}
	got, err := p.TargetUpdates(now)
	if err == nil || len(got) != 3 {
		t.Fatalf("%d updates, error %v, want three and an error", len(got), err)
	}
	for i, u := range got {
		if odd := i == 1; u.Unusable != odd || (u.Target == nil) != odd {
			t.Errorf("update %+v, want it unusable: %v", u, odd)
		}
	}
}

// now is the time at which messages are sent and received.
var now = time.Unix(1_800_000_000, 0)

// pos returns the position of the revision in the first era.
func pos(rev store.Revision) store.Position { return store.PositionOf(1, rev) }
