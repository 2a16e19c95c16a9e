// Package prefix renders prompts, computes the chain of piece hashes that
// identifies a prompt's prefix, and derives the keys that keep customers apart.
package prefix

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"strings"
)

// PieceTokens is the number of tokens in one cache piece.
const PieceTokens = 256

// bytesPerToken estimates a token's length in bytes of UTF-8 text. Entries and
// agents have no tokenizer; the engine reports exact counts.
const bytesPerToken = 4

// PieceBytes is the length of prompt text, in bytes, that makes one piece.
const PieceBytes = PieceTokens * bytesPerToken

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Render joins the messages into one prompt. The rendering of a conversation is
// a prefix of the rendering of its continuation.
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

// Tokens estimates the number of tokens in the text, at least one.
func Tokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// Hash identifies a prefix of a prompt, or a key derived for a customer.
type Hash [16]byte

// CustomerKey is the secret from which all keys of one customer derive.
type CustomerKey [32]byte

// DeriveCustomerKey returns HMAC-SHA256 of the customer's ID under the
// deployment's cache secret. Keys of different customers are unrelated, so equal
// prompts of two customers have different hashes everywhere.
func DeriveCustomerKey(cacheSecret []byte, customer string) CustomerKey {
	m := hmac.New(sha256.New, cacheSecret)
	m.Write([]byte("customer\x00"))
	m.Write([]byte(customer))
	return CustomerKey(m.Sum(nil))
}

// Chain returns one hash for each whole piece of the prompt; hash i covers the
// text of pieces 0 to i. Partial last pieces have no hash.
func Chain(k CustomerKey, prompt string) []Hash {
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

// Derive returns a keyed hash of the parts, for a purpose such as "context" or
// "salt". Parts are length-prefixed, so that they can't run into each other.
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

// EngineKey returns the key under which an engine chains its pieces: SHA-256 of
// its cache salt and weight version. Blocks of two salts or two versions never
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
