// Package blhttp reads HTTP/1.1 responses and accepts only what RFC 9112 and RFC 9110 allow. What it refuses says nothing about the
// request, which may have run.
//
// # Usage
//
//	head, err := blhttp.ReadHead(reader, http.MethodGet)
//
// Errors wrap ErrMalformed for bytes that are no response, and ErrTruncated for a response that ended early.
package blhttp
