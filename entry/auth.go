package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
)

// authenticate returns the customer named in an Authorization header of the form
// "Bearer <customer>.<secret>". Checking an unknown customer takes as long as
// checking a wrong secret, so that the response time doesn't reveal which customers
// exist.
func authenticate(doc *config.Document, header string) (string, error) {
	key, isBearer := strings.CutPrefix(header, "Bearer ")
	id, secret, hasSecret := strings.Cut(key, ".")
	if !isBearer || !hasSecret {
		return "", apierr.New(apierr.Unauthenticated, apierr.NotRun, "the Authorization header is missing or malformed", "send Authorization: Bearer <customer>.<secret>")
	}
	c, known := doc.Customers[id]
	match := 0
	for _, k := range c.Keys {
		match |= compareSecret(k, secret)
	}
	if !known {
		compareSecret(config.Key{}, secret)
	}
	if match != 1 {
		return "", apierr.New(apierr.Unauthenticated, apierr.NotRun, "the key is not valid", "check the key, or ask the operators for a new one")
	}
	return id, nil
}

// compareSecret returns 1 if the secret matches the salted hash and 0 otherwise, in
// constant time.
func compareSecret(k config.Key, secret string) int {
	salt, _ := hex.DecodeString(k.Salt) // validated when the configuration was accepted
	want, _ := hex.DecodeString(k.SHA256)
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return subtle.ConstantTimeCompare(h.Sum(nil), want)
}
