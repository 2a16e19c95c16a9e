package prefix

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Identity identifies the piece of the KV cache in a block. Two blocks are
// interchangeable only if their identities and customer keys are equal.
type Identity struct {
	Model         string
	WeightVersion string
	Adapter       string
	Chain         Hash // of the piece's prefix, under the engine's salt and weight version
	Tokens        int  // number of tokens in the piece
}

// envelope is the header of a block in a store.
type envelope struct {
	Tag Hash // identifies the customer
	Identity
	Length int64
	SHA256 [sha256.Size]byte // of the data
	HMAC   []byte            // of all other fields
}

// ErrInvalidBlock is returned for a block that is damaged or not the expected one. Readers
// treat it as a cache miss.
var ErrInvalidBlock = errors.New("invalid cache block")

const lengthPrefixBytes = 4 // length of the envelope, big endian

// StoreKey returns the key of a block in a store. It is derived from the customer's
// key, so that no customer can address another's blocks.
func StoreKey(k CustomerKey, id Identity) Hash {
	return Derive(k, "store", id.Model, id.WeightVersion, id.Adapter, string(id.Chain[:]))
}

func (e envelope) computeHMAC(k CustomerKey) ([]byte, error) {
	e.HMAC = nil
	b, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, fmt.Errorf("encode block envelope: %w", err)
	}
	m := hmac.New(sha256.New, k[:])
	m.Write([]byte("block\x00"))
	m.Write(b)
	return m.Sum(nil), nil
}

// Seal returns the block for the data of a piece: the envelope's length, the
// envelope, and the data.
func Seal(k CustomerKey, id Identity, data []byte) ([]byte, error) {
	e := envelope{Tag: Derive(k, "tag"), Identity: id, Length: int64(len(data)), SHA256: sha256.Sum256(data)}
	var err error
	if e.HMAC, err = e.computeHMAC(k); err != nil {
		return nil, err
	}
	head, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, fmt.Errorf("encode block envelope: %w", err)
	}
	block := make([]byte, 0, lengthPrefixBytes+len(head)+len(data))
	block = binary.BigEndian.AppendUint32(block, uint32(len(head)))
	return append(append(block, head...), data...), nil
}

// Open verifies that a block matches the expected identity and returns its data. The
// error wraps ErrInvalidBlock and names the field that does not match.
func Open(k CustomerKey, want Identity, block []byte) ([]byte, error) {
	e, data, err := splitBlock(block)
	if err != nil {
		return nil, err
	}
	mac, err := e.computeHMAC(k)
	if err != nil {
		return nil, err
	}
	for _, c := range []struct {
		ok    bool
		field string
	}{
		{e.Tag == Derive(k, "tag"), "customer"},
		{e.Model == want.Model, "model"},
		{e.WeightVersion == want.WeightVersion, "weight version"},
		{e.Adapter == want.Adapter, "adapter"},
		{e.Chain == want.Chain, "chain hash"},
		{e.Tokens == want.Tokens, "token count"},
		{e.Length == int64(len(data)), "length"},
		{e.SHA256 == sha256.Sum256(data), "SHA-256"},
		{hmac.Equal(mac, e.HMAC), "HMAC"},
	} {
		if !c.ok {
			return nil, fmt.Errorf("%w: %s does not match", ErrInvalidBlock, c.field)
		}
	}
	return data, nil
}

func splitBlock(block []byte) (e envelope, data []byte, err error) {
	if len(block) < lengthPrefixBytes {
		return e, nil, fmt.Errorf("%w: truncated length prefix of %d bytes", ErrInvalidBlock, len(block))
	}
	n := uint64(binary.BigEndian.Uint32(block))
	rest := block[lengthPrefixBytes:]
	if n > uint64(len(rest)) {
		return e, nil, fmt.Errorf("%w: truncated envelope", ErrInvalidBlock)
	}
	d := msgpack.NewDecoder(bytes.NewReader(rest[:n]))
	if err := d.Decode(&e); err != nil {
		return e, nil, fmt.Errorf("%w: decode envelope: %w", ErrInvalidBlock, err)
	}
	return e, rest[n:], nil
}

// ContextKey returns the key of a conversation's context in the directory.
func ContextKey(k CustomerKey, conversation string) Hash { return Derive(k, "context", conversation) }
