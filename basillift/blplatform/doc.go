// Package blplatform reads the platform over HTTP and decides how a reader
// paces itself when the platform is slow, down, stale or restored from a backup.
//
// The protocol:
//
//	GET /v1/keys/{key}                          reads a key
//	GET /v1/keys/{key}?watch={mod}&wait={s}     answers as a read once the key's mod differs
//	                                            from {mod}, or after {s} seconds
//
// The answer is 200 with the value as body and the decimal headers Platform-Mod
// and Platform-Store; 404 for a key without a value, with Platform-Store; 429
// when the read budget of all readers is exhausted; 503 in an outage. With an
// ETag in its answers the platform may answer a request whose If-None-Match has
// the tag of the value by 304, with both headers and no body: an idle watch and a
// read of an unchanged list or part then cost no transfer of the value. A key
// without a value has mod 0. Keys hold only letters, digits, dots and hyphens;
// a body holds at most 1 MB.
//
// # Usage
//
// A reader reads a cut after every answer, also after a stale one: once operators
// have raised the epoch, a lower numbering is the new one. Whether the cut is
// adopted is up to blconfig.Holder.
//
//	client, err := blplatform.NewClient("http://10.0.0.5:2400")
//	health := blplatform.NewHealth(time.Now(), random)
//	for {
//		value, err := client.Watch(ctx, basillift.KeyCustomers, mod)
//		if err != nil {
//			sleep(health.Failed(time.Now(), err).Wait())
//			continue
//		}
//		advice := health.Answered(time.Now(), value)
//		cut, err := blplatform.ReadCut(ctx, client, value)
//		...
//		mod = value.Mod()
//		sleep(advice.Wait())
//	}
package blplatform
