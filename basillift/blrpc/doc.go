// Package blrpc transports the control messages between daemons as JSON-RPC 2.0 over TCP.
// Each direction of a connection is one zstd stream with a 64 KB window, which is flushed
// after each message. Structure that recurs between messages therefore takes only a few
// bytes.
//
// Every connection starts with a hello call in which both sides send their member record.
// After that, both sides may send calls. Bytes are counted at the socket, by direction and
// purpose.
//
// # Usage
//
// Packages register the handlers of their methods before the pool runs:
//
//	pool := blrpc.NewPool(self, observer, resolve, seed)
//	pool.Handle("claim", func(ctx context.Context, from basillift.VMID, params json.RawMessage) (any, error) {
//		return grant(params)
//	})
//	go pool.Run(ctx, listener)
//	err := pool.Call(ctx, peer, "claim", request, &result)
//	pool.Notify(peer, "settle", outcome)
//
// Handlers registered with Handle each run in a goroutine of their own and may block.
// Handlers registered with HandleInOrder run in order of arrival and must not block.
//
// TCP keep-alive and SO_LINGER do not detect a frozen peer, because its kernel continues to
// acknowledge data. Every call and every write therefore has a deadline. A failed write
// closes the connection, because the compressed stream cannot be resumed.
package blrpc

//go:generate go -C ../../tools tool go-jsonschema --only-models --tags json -p blrpc -o ../basillift/blrpc/messages_gen.go ../schema/messages.json
