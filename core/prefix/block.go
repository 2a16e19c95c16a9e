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

// Identity says whose piece a block holds, and of which prefix. Two blocks are
// interchangeable only if their identities and the customer's key are equal.
type Identity struct {
	Model         string
	WeightVersion string
	Adapter       string
	Chain         Hash // of the piece, under the engine's salt and version
	Tokens        int  // of the piece
}

// envelope precedes the data of a block in a store.
type envelope struct {
	Tag Hash // of the customer
	Identity
	Length int64
	SHA256 [sha256.Size]byte // of the data
	HMAC   []byte            // of all other fields
}

// ErrBlock says that a block is not the one wanted, or is damaged. Readers treat
// it as a miss.
var ErrBlock = errors.New("the cache block can't be used")

const lengthBytes = 4 // of the envelope, big endian

// StoreKey returns the key of the block in a store. It derives from the
// customer's key, so that no customer can name a block of another.
func StoreKey(k CustomerKey, id Identity) Hash {
	return Derive(k, "store", id.Model, id.WeightVersion, id.Adapter, string(id.Chain[:]))
}

func (e envelope) seal(k CustomerKey) ([]byte, error) {
	e.HMAC = nil
	b, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, fmt.Errorf("encode the envelope: %w", err)
	}
	m := hmac.New(sha256.New, k[:])
	m.Write([]byte("block\x00"))
	m.Write(b)
	return m.Sum(nil), nil
}

// Seal returns the block that holds the data of a piece: the envelope's length,
// the envelope, and the data.
func Seal(k CustomerKey, id Identity, data []byte) ([]byte, error) {
	e := envelope{Tag: Derive(k, "tag"), Identity: id, Length: int64(len(data)), SHA256: sha256.Sum256(data)}
	var err error
	if e.HMAC, err = e.seal(k); err != nil {
		return nil, err
	}
	head, err := msgpack.Marshal(&e)
	if err != nil {
		return nil, fmt.Errorf("encode the envelope: %w", err)
	}
	block := make([]byte, 0, lengthBytes+len(head)+len(data))
	block = binary.BigEndian.AppendUint32(block, uint32(len(head)))
	return append(append(block, head...), data...), nil
}

// Open verifies a block against the piece wanted and returns its data. The error
// wraps ErrBlock and names the field that doesn't fit.
func Open(k CustomerKey, want Identity, block []byte) ([]byte, error) {
	e, data, err := split(block)
	if err != nil {
		return nil, err
	}
	mac, err := e.seal(k)
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
			return nil, fmt.Errorf("%w: its %s differs", ErrBlock, c.field)
		}
	}
	return data, nil
}

func split(block []byte) (e envelope, data []byte, err error) {
	if len(block) < lengthBytes {
		return e, nil, fmt.Errorf("%w: %d bytes are too few", ErrBlock, len(block))
	}
	n := uint64(binary.BigEndian.Uint32(block))
	rest := block[lengthBytes:]
	if n > uint64(len(rest)) {
		return e, nil, fmt.Errorf("%w: the envelope is cut", ErrBlock)
	}
	d := msgpack.NewDecoder(bytes.NewReader(rest[:n]))
	if err := d.Decode(&e); err != nil {
		return e, nil, fmt.Errorf("%w: decode the envelope: %w", ErrBlock, err)
	}
	return e, rest[n:], nil
}

// ContextKey returns the key of a conversation's context in the directory.
func ContextKey(k CustomerKey, conversation string) Hash { return Derive(k, "context", conversation) }
