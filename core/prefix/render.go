// Package prefix renders prompts, computes the chain of hashes that identifies the
// prefixes of a prompt, and derives the keys that isolate customers from each other.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

// PieceTokens is the number of tokens in a piece, the unit of the KV cache.
const PieceTokens = 256

// bytesPerToken is the estimated length of a token in bytes of UTF-8 text. Entry
// processes and agents have no tokenizer; the engine reports exact counts.
const bytesPerToken = 4

// PieceBytes is the length of the prompt text of a piece in bytes.
const PieceBytes = PieceTokens * bytesPerToken

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Render joins the messages into one prompt. The rendering of a conversation is a
// prefix of the rendering of its continuation.
func Render(msgs []Message) string {
	var b strings.Builder
	for _, m := range msgs {
		b.WriteString("<|")
		b.WriteString(m.Role)
		b.WriteString("|>")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// EstimateTokens estimates the number of tokens in the text. The result is at least one.
func EstimateTokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// Hash identifies a prefix of a prompt, or is a key derived for a customer.
type Hash [16]byte

// CustomerKey is the secret from which all keys of a customer are derived.
type CustomerKey [32]byte

// DeriveCustomerKey returns the HMAC-SHA256 of the customer's ID under the
// deployment's cache secret. Keys of different customers are independent, so equal
// prompts of two customers never have the same hashes.
func DeriveCustomerKey(cacheSecret []byte, customer string) CustomerKey {
	m := hmac.New(sha256.New, cacheSecret)
	m.Write([]byte("customer\x00"))
	m.Write([]byte(customer))
	return CustomerKey(m.Sum(nil))
}

// HashChain returns one hash for each complete piece of the prompt. Hash i covers the
// text of pieces 0 to i. An incomplete last piece has no hash.
func HashChain(k CustomerKey, prompt string) []Hash {
	n := len(prompt) / PieceBytes
	chain := make([]Hash, 0, n)
	var prev Hash
	for i := range n {
		m := hmac.New(sha256.New, k[:])
		m.Write([]byte("piece\x00"))
		m.Write(prev[:])
		m.Write([]byte(prompt[i*PieceBytes : (i+1)*PieceBytes]))
		copy(prev[:], m.Sum(nil))
		chain = append(chain, prev)
	}
	return chain
}

// Derive returns a keyed hash of the parts for a purpose such as "context" or "salt".
// Parts are length-prefixed, so that different lists of parts never have the same
// encoding.
func Derive(k CustomerKey, purpose string, parts ...string) Hash {
	m := hmac.New(sha256.New, k[:])
	m.Write([]byte(purpose))
	for _, p := range parts {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		m.Write(n[:])
		m.Write([]byte(p))
	}
	var h Hash
	copy(h[:], m.Sum(nil))
	return h
}

// EngineKey returns the key with which an engine computes its hash chain: the SHA-256
// of its cache salt and weight version. Blocks of different salts or versions never
// have the same hash.
func EngineKey(salt, weightVersion string) CustomerKey {
	h := sha256.New()
	for _, p := range []string{salt, weightVersion} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(p)))
		h.Write(n[:])
		h.Write([]byte(p))
	}
	return CustomerKey(h.Sum(nil))
}
