package labhttp

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maximumJSON bounds JSON bodies of the lab's own endpoints.
const maximumJSON = 1 << 20

// ReadJSON decodes a body and refuses unknown fields, so that a misspelled
// switch is not taken as off.
func ReadJSON(r *http.Request, into any) error {
	d := json.NewDecoder(io.LimitReader(r.Body, maximumJSON))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return fmt.Errorf("read JSON body: %w", err)
	}
	return nil
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(value)
}
