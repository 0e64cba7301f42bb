// Package blrpc carries the control messages between daemons: JSON-RPC 2.0 over TCP,
// each direction of a connection being one zstd stream with a 64 KB window that is
// flushed after each message. Repeated structure therefore costs a few bytes.
//
// Every connection opens with a hello call in which both sides name their record; after
// that both sides may call. Bytes are counted at the socket, in both directions, by purpose.
//
// # Usage
//
// Packages register the methods that they answer before the pool runs:
//
//	pool := blrpc.NewPool(self, greeter, resolve, seed)
//	pool.Handle("claim", func(ctx context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
//		return grant(params)
//	})
//	go pool.Run(ctx, listener)
//	err := pool.Call(ctx, peer, "claim", question, &answer)
//	pool.Notify(peer, "settle", result)
//
// Handlers registered with Handle run in goroutines of their own and may wait; those
// registered with HandleInOrder run in the order of arrival and must not wait.
//
// TCP keep-alive and SO_LINGER do not detect a frozen peer: the kernel acknowledges for
// it. So every call has a deadline and every write has one, and a failed write closes the
// connection because the compressed stream cannot be resumed.
package blrpc

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -p blrpc -o ../basillift/blrpc/messages_gen.go ../schema/messages.json
