package blhttp

import (
	"net/http"
	"strconv"
	"strings"
)

// parseFraming determines where the body ends (RFC 9112, section 6.3), and whether the connection persists (section 9.3).
func (h *Head) parseFraming(method string) error {
	if err := h.parseFramingFields(); err != nil {
		return err
	}
	h.bodyless = method == http.MethodHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified
	framed := h.bodyless || h.chunked || h.length >= 0
	h.persistent = framed && persists(h.minor, h.options)
	if h.status == http.StatusNoContent || framed && h.length < 0 {
		h.length = LengthUnknown
	}
	return nil
}

// parseFramingFields sets the length, whether the body is in chunks, and the connection options.
func (h *Head) parseFramingFields() error {
	var codings []string
	hasCoding := false
	h.length = LengthUntilClose
	for name, value := range h.Fields() {
		switch {
		case strings.EqualFold(name, "Content-Length"):
			if err := h.addLength(value); err != nil {
				return err
			}
		case strings.EqualFold(name, "Transfer-Encoding"):
			hasCoding = true
			codings = append(codings, listElements(value)...)
		case strings.EqualFold(name, "Connection"):
			h.options += "," + value
		}
	}
	h.chunked = len(codings) == 1 && strings.EqualFold(codings[0], "chunked")
	switch {
	case hasCoding && !h.chunked:
		return malformed("transfer coding %.40q", strings.Join(codings, ","))
	case hasCoding && h.length >= 0:
		return malformed("both a length and a transfer coding")
	case hasCoding && h.minor == '0':
		return malformed("transfer coding in HTTP/1.0")
	}
	return nil
}

// addLength parses the value of a field Content-Length. Several lengths must be equal.
func (h *Head) addLength(value string) error {
	for element := range strings.SplitSeq(value, ",") {
		element = strings.Trim(element, " \t")
		n, err := strconv.ParseUint(element, 10, strconv.IntSize-1)
		if err != nil {
			return malformed("length %.40q", value)
		}
		if h.length >= 0 && h.length != int(n) {
			return malformed("lengths %d and %d", h.length, n)
		}
		h.length = int(n)
	}
	return nil
}

// listElements splits a list at its commas and drops empty elements.
func listElements(value string) []string {
	var elements []string
	for element := range strings.SplitSeq(value, ",") {
		if element = strings.Trim(element, " \t"); element != "" {
			elements = append(elements, element)
		}
	}
	return elements
}

// persists reports whether a connection stays open behind a response, given its minor version and its connection options.
func persists(minor byte, options string) bool {
	keepAlive := minor != '0'
	for _, option := range listElements(options) {
		switch {
		case strings.EqualFold(option, "close"):
			return false
		case strings.EqualFold(option, "keep-alive"):
			keepAlive = true
		}
	}
	return keepAlive
}
