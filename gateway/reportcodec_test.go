package gateway

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// The types without their own decoders.
type (
	plainLoad reportLoad
	plainUse  reportUse
)

// decodeBoth decodes a value with a type's own decoder and by reflection.
func decodeBoth[T, P any](t *testing.T, data []byte) (own T, plain P) {
	t.Helper()
	errOwn, errPlain := msgpack.Unmarshal(data, &own), msgpack.Unmarshal(data, &plain)
	require.Equal(t, errPlain == nil, errOwn == nil, "%x: own decoder %v, by reflection %v", data, errOwn, errPlain)
	return own, plain
}

// Guards against elements of a report that the decoders written here read differently from the
// library's, which other versions use.
func TestReportElementsDecodeAsByReflection(t *testing.T) {
	load := reportLoad{math.MaxUint32, 1, -2, 300, math.MaxInt, math.MinInt}
	use := reportUse{1 << 31, math.MaxUint64, 70_000}
	var inputs [][]byte
	for _, v := range []any{load, use, reportLoad{}, reportUse{}} {
		short, err := encodeMessage(v)
		require.NoError(t, err)
		named, err := msgpack.Marshal(v)
		require.NoError(t, err)
		inputs = append(inputs, short, named, short[:len(short)-1])
	}
	for _, v := range []any{nil, []int{}, []int{1, 2}, []int{1, 2, 3}, []any{1, nil, 3}, []any{1.5, 2, 3}, []any{"a", 2, 3}, []int{1, 2, 3, 4, 5, 6, 7}, map[string]int{"Active": 3, "Other": 1}, "text", 7} {
		data, err := msgpack.Marshal(v)
		require.NoError(t, err)
		inputs = append(inputs, data)
	}
	for _, data := range inputs {
		if own, plain := decodeBoth[reportLoad, plainLoad](t, data); msgpack.Unmarshal(data, new(plainLoad)) == nil {
			require.Equal(t, plain, plainLoad(own), "%x", data)
		}
		if own, plain := decodeBoth[reportUse, plainUse](t, data); msgpack.Unmarshal(data, new(plainUse)) == nil {
			require.Equal(t, plain, plainUse(own), "%x", data)
		}
	}
}
