package claims

import (
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/core/config"
)

// MaxKeyTimeAhead is the maximum time by which a key's time may be ahead of the clock.
const MaxKeyTimeAhead = 5 * time.Minute

// keyLength is the length of a UUID in its canonical form. Other forms of the same
// UUID are rejected, because they would hash to another key.
const keyLength = 36

// uuidTimeBytes is the length of the timestamp at the start of a UUIDv7.
const uuidTimeBytes = 6

// KeyTime returns the timestamp of an idempotency key, which must be a UUIDv7.
func KeyTime(key string) (time.Time, error) {
	u, err := uuid.Parse(key)
	if err != nil || len(key) != keyLength || key != strings.ToLower(key) || u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return time.Time{}, apierr.New(apierr.InvalidKey, apierr.NotRun, "the idempotency key is not a UUID version 7 in lower case", "make a UUIDv7 for each payment and send it in Idempotency-Key")
	}
	var ms int64
	for _, b := range u[:uuidTimeBytes] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms), nil
}

// CheckKeyWindow returns an error if a key with the given timestamp is outside the key
// window at the time now.
func CheckKeyWindow(key, now time.Time, window time.Duration) error {
	switch {
	case key.After(now.Add(MaxKeyTimeAhead)):
		return apierr.New(apierr.KeyExpired, apierr.NotRun, "the key's time is more than 5 minutes in the future", "correct the clock of the host that makes the keys")
	case key.Before(now.Add(-window)):
		return apierr.New(apierr.KeyExpired, apierr.NotRun, fmt.Sprintf("the key is older than the key window of %s", window),
			"this request was not run, but an earlier one with the key may have been: check with the service before using a new key")
	}
	return nil
}

// MatchRule returns the first rule of the service that matches the method and path.
func MatchRule(s config.Service, method, path string) (config.Rule, bool) {
	for _, r := range s.Rules {
		if (r.Method == "*" || strings.EqualFold(r.Method, method)) && strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return config.Rule{}, false
}
