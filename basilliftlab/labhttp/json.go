package labhttp

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxJSONBytes limits how much of a JSON request body ReadJSON reads.
const maxJSONBytes = 1 << 20

// ReadJSON decodes the JSON value of a request body. It rejects unknown fields,
// because a misspelled field would otherwise be ignored and keep its zero value.
func ReadJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxJSONBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode JSON request body: %w", err)
	}
	return nil
}

// WriteJSON writes a response with a status code and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client disconnected, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(value)
}
