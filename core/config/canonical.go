package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Hash is the SHA-256 of a canonical document.
type Hash [sha256.Size]byte

// shortHashBytes is the length of the hash prefix that is gossiped.
const shortHashBytes = 8

// Short returns the first 8 bytes of the hash, which suffice to detect that two
// processes hold different documents of one version.
func (h Hash) Short() []byte { return h[:shortHashBytes] }

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// HashOf returns the hash of a canonical document.
func HashOf(canonical []byte) Hash { return sha256.Sum256(canonical) }

// Canonical returns the canonical form of a JSON object: sorted keys, no white
// space, numbers in their shortest form, and no members that are null, since a merge
// patch can't express those. Texts with the same content have the same canonical
// form in every process, regardless of the fields that its build knows.
func Canonical(text []byte) ([]byte, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	var v any
	if err := d.Decode(&v); err != nil {
		return nil, fmt.Errorf("decode the document: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, fmt.Errorf("decode the document: trailing data after the JSON object")
	}
	if _, ok := v.(map[string]any); !ok {
		return nil, fmt.Errorf("decode the document: not a JSON object")
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(withoutNulls(v)); err != nil {
		return nil, fmt.Errorf("encode the document: %w", err)
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

func withoutNulls(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k, x := range v {
			if x == nil {
				delete(v, k)
				continue
			}
			v[k] = withoutNulls(x)
		}
	case []any:
		for i, x := range v {
			v[i] = withoutNulls(x)
		}
	}
	return v
}

// Diff returns the JSON merge patch (RFC 7386) that turns the canonical
// document base into target, or "{}" if they are equal.
func Diff(base, target []byte) ([]byte, error) {
	p, err := jsonpatch.CreateMergePatch(base, target)
	if err != nil {
		return nil, fmt.Errorf("compute the merge patch: %w", err)
	}
	return p, nil
}

// Merge applies a JSON merge patch to a canonical document and returns the
// canonical result.
func Merge(base, patch []byte) ([]byte, error) {
	b, err := jsonpatch.MergePatch(base, patch)
	if err != nil {
		return nil, fmt.Errorf("apply the merge patch: %w", err)
	}
	return Canonical(b)
}

// Decode parses and validates a canonical document. It ignores unknown fields, so
// that a process of an older build accepts documents of a newer one; the canonical
// text retains them.
func Decode(canonical []byte) (*Document, error) {
	d := new(Document)
	if err := json.Unmarshal(canonical, d); err != nil {
		return nil, fmt.Errorf("decode the document: %w", err)
	}
	return d, d.Validate()
}
