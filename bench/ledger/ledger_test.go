package ledger

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryTemplate = `{"id":"%ID","site":"s","why":"w","days":[{"G":%G,"name":"quiet","refused":0.01,"failed":0.02,"rules":{%R},"parts":[["whole day",0.5,%P]],"prices":[["calls",100,0.05],["small",1,0.001]]}]}`

func writeEntry(t *testing.T, folder, id, worth, part, rules string) {
	t.Helper()
	text := strings.NewReplacer("%ID", id, "%G", worth, "%P", part, "%R", rules).Replace(entryTemplate)
	require.NoError(t, os.WriteFile(filepath.Join(folder, "20260101-"+id+".json"), []byte(text), 0o600))
}

// Guards against losses that are missing or printed with the wrong sign.
func TestPrint(t *testing.T) {
	dir := t.TempDir()
	writeEntry(t, dir, "aa", "0.5", "0.8", "")
	writeEntry(t, dir, "bb", "0.6", "0.9", `"TWICE":3`)
	a, err := Load(dir, "aa")
	require.NoError(t, err)
	b, err := Load(dir, "bb")
	require.NoError(t, err)
	var out strings.Builder
	require.NoError(t, Print(&out, a, b))
	require.Regexp(t, `quiet +worth +0.500 +0.600 +\+0.100`, out.String())
	require.Regexp(t, `quiet +whole day +0.100 +0.050 +-0.050`, out.String())
	require.Regexp(t, `quiet +calls +0.050 +0.050 +\+0.000`, out.String())
	require.Contains(t, out.String(), "BROKEN TWICE")
	require.NotContains(t, out.String(), "small")
	_, err = Load(dir, "cc")
	require.ErrorContains(t, err, "snapshot")
}
