package forward

// Misdirection is what is known about an answer with which an endpoint rejects a request as meant for
// another endpoint or for other weights.
type Misdirection struct {
	Endpoint        string // ID that the request named
	ExpectedVersion int64  // weight version that the request named, 0 for any
	StatedEndpoint  string // ID that the answer states, "" for none
	StatedVersion   int64  // weight version that the answer states, 0 for none
	NewestVersion   int64  // newest version of the model that was named, or observed on the endpoint
}

// AddressReused reports whether another endpoint now has the address that the request was sent to. If
// not, the endpoint only has other weights.
//
// Load pattern: endpoints crash and come back under another ID at their address, before their old
// entries expire. All prompts that are placed on an old entry are rejected.
func (m Misdirection) AddressReused() bool {
	switch {
	case m.StatedEndpoint != "":
		return m.StatedEndpoint != m.Endpoint
	case m.ExpectedVersion == 0:
		return true // the request names nothing else that could differ
	case m.StatedVersion != 0:
		return m.StatedVersion == m.ExpectedVersion
	default:
		return m.NewestVersion <= m.ExpectedVersion // the endpoint can have no newer version
	}
}

// CountedAttempts returns how many of the attempts in which a request was sent count towards its
// route's maximum, which limits the endpoints that a request runs on. notRun of them were rejected by
// endpoints that stated that the request did not run, and up to uncounted of these don't count.
func CountedAttempts(sent, notRun, uncounted int) int { return sent - min(notRun, uncounted) }
