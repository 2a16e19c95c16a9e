// Package httpjson decodes and encodes the JSON bodies of the stand-ins' HTTP
// interfaces.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 64 << 20

// Read decodes the request body into v. If that fails, it responds with status 400
// and returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Write responds with v encoded as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// Error responds with an error message.
func Error(w http.ResponseWriter, status int, message string) {
	Write(w, status, struct {
		Error string `json:"error"`
	}{message})
}
