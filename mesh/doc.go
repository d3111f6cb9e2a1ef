// Package mesh defines the messages between clovertrail's processes and sends them: unary DRPC calls
// with CBOR bodies. It uses DRPC instead of gRPC because an idle process needs less memory with it
// (docs/design/platform.md).
//
// The deadline of a call is that of its context. If the response does not arrive in time, the
// connection of the call is closed, and the next call opens another one. This package never repeats a
// call.
//
// # Usage
//
//	mux := mesh.NewMux()
//	mesh.Handle(mux, mesh.ExchangeAdverts, func(ctx context.Context, a *mesh.Advert) (*mesh.Advert, error) {...})
//	go mesh.Serve(ctx, listener, mux)
//
//	client := mesh.NewClient(dial, func(name mesh.Method, sent, received int) { ... })
//	reply, err := mesh.Call[mesh.Advert, mesh.Advert](ctx, client, "10.1.0.40:7340", mesh.ExchangeAdverts, &advert)
package mesh
