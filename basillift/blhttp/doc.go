// Package blhttp reads HTTP/1.1 responses and accepts only what RFC 9112 and RFC 9110 allow. What it refuses says nothing about the
// request, which may have run. The lines of heads that daemons write are formatted here too.
//
// Where a recipient has a choice, the package repairs nothing that a peer could read in another way: lines that end with a line feed
// alone, folded values, blanks around the name of a field, codings other than chunked and a Content-Length beside a
// Transfer-Encoding are errors. It accepts a status line that ends behind the status, and equal lengths in several fields.
//
// # Usage
//
//	head, err := blhttp.ReadHead(reader, http.MethodGet)
//	body := head.Body(reader) // io.EOF at the end; any other error means that the response is not complete
//
// A client of net/http or fasthttp reads only checked responses if its connections are those of NewConn:
//
//	transport := blhttp.CheckResponses(&http.Transport{}, &net.Dialer{})
//
// Errors wrap ErrMalformed for bytes that are no response, and ErrTruncated for a response that ended early.
package blhttp
