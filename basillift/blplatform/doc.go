// Package blplatform reads the platform over HTTP and determines the delays between the
// requests of a reader when the platform is slow, down, stale or restored from a backup.
//
// The protocol:
//
//	GET /v1/keys/{key}                          reads a key
//	GET /v1/keys/{key}?watch={mod}&wait={s}     responds like a read as soon as the key's
//	                                            modification revision differs from {mod},
//	                                            or after {s} seconds
//
// The status is 200 for a value, with the value as the body and the decimal headers
// Platform-Mod (modification revision) and Platform-Store (store revision); 404 for a
// key without a value, with Platform-Store only; 429 when the read budget of all readers
// is exhausted; and 503 during an outage. A platform that sends an ETag may respond to a
// request with the same tag in If-None-Match with 304, both headers and no body. An idle
// watch and a read of an unchanged list or part then transfer no value. A key without a
// value has the modification revision 0. Keys contain only letters, digits, dots and
// hyphens. A body has at most 1 MB.
//
// # Usage
//
// A reader performs a consistent read of the lists after every response, even a stale
// one: after operators have raised the epoch, lower revisions are valid.
// blconfig.Holder decides whether to adopt the result.
//
//	client, err := blplatform.NewClient("http://10.0.0.5:2400")
//	health := blplatform.NewHealth(time.Now(), random)
//	for {
//		value, err := client.Watch(ctx, basillift.KeyCustomers, modRevision)
//		if err != nil {
//			sleep(health.RecordError(time.Now(), err).Wait())
//			continue
//		}
//		advice := health.RecordResponse(time.Now(), value)
//		read, err := blplatform.ReadLists(ctx, client, value)
//		...
//		modRevision = value.ModRevision()
//		sleep(advice.Wait())
//	}
package blplatform
