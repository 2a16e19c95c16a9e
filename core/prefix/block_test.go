package prefix

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

func newTestBlock(t *testing.T) (CustomerKey, Identity, []byte, []byte) {
	t.Helper()
	k := DeriveCustomerKey([]byte("secret"), "kutch-haulage")
	id := Identity{Model: "naviq-llm", WeightVersion: "v1", Adapter: "toll", Chain: Hash{7}, Tokens: PieceTokens}
	data := []byte("KV data of one piece")
	b, err := Seal(k, id, data)
	require.NoError(t, err)
	got, err := Open(k, id, b)
	require.NoError(t, err)
	require.Equal(t, data, got)
	return k, id, data, b
}

// Promises P2 and P3 (docs/promises.md): a block of another customer, model, version,
// adapter or prefix is a cache miss. Each case changes one field of the expected
// identity.
func TestOpenRefusesAnotherIdentity(t *testing.T) {
	k, id, _, b := newTestBlock(t)
	for field, change := range map[string]func(*CustomerKey, *Identity){
		"customer":       func(k *CustomerKey, _ *Identity) { *k = DeriveCustomerKey([]byte("secret"), "vadodara") },
		"model":          func(_ *CustomerKey, id *Identity) { id.Model = "other" },
		"weight version": func(_ *CustomerKey, id *Identity) { id.WeightVersion = "v2" },
		"adapter":        func(_ *CustomerKey, id *Identity) { id.Adapter = "" },
		"chain hash":     func(_ *CustomerKey, id *Identity) { id.Chain[15]++ },
		"token count":    func(_ *CustomerKey, id *Identity) { id.Tokens-- },
	} {
		k2, id2 := k, id
		change(&k2, &id2)
		_, err := Open(k2, id2, b)
		require.ErrorIs(t, err, ErrInvalidBlock)
		require.ErrorContains(t, err, field)
	}
}

// Promise P1 (docs/promises.md): every flipped bit and every truncation of a block is
// detected.
func TestOpenRefusesDamage(t *testing.T) {
	k, id, _, b := newTestBlock(t)
	for i := range len(b) * 8 {
		c := append([]byte(nil), b...)
		c[i/8] ^= 1 << (i % 8)
		_, err := Open(k, id, c)
		require.ErrorIs(t, err, ErrInvalidBlock, "bit %d", i)
	}
	for n := range len(b) {
		_, err := Open(k, id, b[:n])
		require.ErrorIs(t, err, ErrInvalidBlock, "%d bytes", n)
	}
	_, err := Open(k, id, b[:len(b)-1])
	require.ErrorContains(t, err, "length")
}

// Promise P2 (docs/promises.md): without the customer's key, no block can be forged
// that is accepted, even with a correct tag and checksum.
func TestOpenRefusesForgedHMAC(t *testing.T) {
	k, id, _, b := newTestBlock(t)
	e, _, err := splitBlock(b)
	require.NoError(t, err)
	data := []byte("KV data of another")
	e.Length, e.SHA256 = int64(len(data)), sha256.Sum256(data)
	head, err := msgpack.Marshal(&e)
	require.NoError(t, err)
	forged := append([]byte{0, 0, byte(len(head) >> 8), byte(len(head))}, head...)
	_, err = Open(k, id, append(forged, data...))
	require.ErrorContains(t, err, "HMAC")
}

// Promise P2 (docs/promises.md): equal prompts of two customers have different keys
// in a store.
func TestStoreKeysOfCustomersDiffer(t *testing.T) {
	k, id, _, _ := newTestBlock(t)
	other := DeriveCustomerKey([]byte("secret"), "vadodara")
	require.NotEqual(t, StoreKey(k, id), StoreKey(other, id))
	v2 := id
	v2.WeightVersion = "v2"
	require.NotEqual(t, StoreKey(k, id), StoreKey(k, v2))
}
