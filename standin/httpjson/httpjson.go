// Package httpjson reads and writes the JSON bodies of the stand-ins.
package httpjson

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 64 << 20

// Read decodes the request's body into v; on an error it answers 400 and
// returns false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		Error(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Write answers with the JSON form of v.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller has gone if this fails
}

// Error answers with a message.
func Error(w http.ResponseWriter, status int, message string) {
	Write(w, status, struct {
		Error string `json:"error"`
	}{message})
}
