package prefix

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Promise P3 (docs/promises.md): the hash chain of a prompt depends on the engine's
// salt and weight version, so that no block of another version or customer can match.
func TestChainsOfVersionsDiffer(t *testing.T) {
	prompt := strings.Repeat("x", PieceBytes)
	seen := map[Hash]string{}
	for _, k := range [][2]string{{"s", "v1"}, {"s", "v2"}, {"r", "v1"}, {"sv", "1"}} {
		h := HashChain(EngineKey(k[0], k[1]), prompt)[0]
		require.Empty(t, seen[h], k)
		seen[h] = k[0] + "/" + k[1]
	}
}
