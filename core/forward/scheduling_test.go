package forward

import (
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/require"
)

// replayDigest returns a digest of all decisions of a replay.
func replayDigest(all []*replayRequest) uint64 {
	h := fnv.New64a()
	for _, r := range all {
		_, _ = h.Write([]byte{byte(r.engine), byte(r.priority), byte(boolInt(r.refused)), byte(boolInt(r.late))}) // never returns an error
	}
	return h.Sum64()
}

// Guards against decisions that change although no setting of scheduling is on.
func TestDecisionsWithoutSchedulingAreAsBefore(t *testing.T) {
	all := replayScheduling(replayClasses(replayBeyondCapacity), 1, decideBefore)
	everyone := func(*replayRequest) bool { return true }
	t.Logf("short %v", countReplay(all, "short", everyone))
	t.Logf("long %v", countReplay(all, "long", everyone))
	const onCommit464182b = uint64(0x6c157a9b03e8cb90) // before the first setting of scheduling was added
	require.Equal(t, onCommit464182b, replayDigest(all))
}
