// Package mesh holds the messages between clovertrail's processes: single calls over
// DRPC with CBOR bodies. DRPC and not gRPC, for the memory that each process takes at rest
// (docs/design/platform.md).
//
// Every call carries its own deadline in its context. A call whose answer does not
// come in time loses its connection, and the next one opens another; nothing is
// ever repeated by this package.
//
// # Usage
//
//	mux := mesh.NewMux()
//	mesh.Handle(mux, mesh.Meet, func(ctx context.Context, a *mesh.Advert) (*mesh.Advert, error) {...})
//	go mesh.Serve(ctx, listener, mux)
//
//	client := mesh.NewClient(dial)
//	reply, err := mesh.Call[mesh.Advert, mesh.Advert](ctx, client, "10.1.0.40:7340", mesh.Meet, &advert)
package mesh
