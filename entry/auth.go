package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
)

// authenticate returns the customer of an Authorization header of the form
// "Bearer <customer>.<secret>". An unknown customer takes as long as a wrong
// secret.
func authenticate(doc *config.Document, header string) (string, error) {
	key, ok := strings.CutPrefix(header, "Bearer ")
	id, secret, ok2 := strings.Cut(key, ".")
	if !ok || !ok2 {
		return "", apierr.New(apierr.Unauthenticated, apierr.NotRun, "the Authorization header is missing or malformed", "send Authorization: Bearer <customer>.<secret>")
	}
	c, known := doc.Customers[id]
	match := 0
	for _, k := range c.Keys {
		match |= compare(k, secret)
	}
	if !known {
		compare(config.Key{}, secret)
	}
	if match != 1 {
		return "", apierr.New(apierr.Unauthenticated, apierr.NotRun, "the key is not valid", "check the key, or ask the operators for a new one")
	}
	return id, nil
}

// compare returns 1 when the secret has the salted hash, in constant time.
func compare(k config.Key, secret string) int {
	salt, _ := hex.DecodeString(k.Salt) // checked when the document was accepted
	want, _ := hex.DecodeString(k.SHA256)
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return subtle.ConstantTimeCompare(h.Sum(nil), want)
}
