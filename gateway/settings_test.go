package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// sampleSettings fills the deployment's template in with sample values.
func sampleSettings(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "deploy", "entry.settings.tmpl"))
	require.NoError(t, err)
	values := map[string]string{
		"nodeName": `"entry-1"`, "ip": `"10.1.0.19"`, "zone": `"a"`, "listen.front": `"10.1.0.19:8749"`, "listen.ready": `"10.1.0.19:8741"`,
		"platform.addr": `"10.200.1.7:8744"`, "portRange": `[7580,7595]`, "bounds.budgetRatio": "0.2",
	}
	return regexp.MustCompile(`\{\{([a-zA-Z.]+)\|json\}\}`).ReplaceAllStringFunc(string(data), func(m string) string {
		name := strings.TrimSuffix(strings.TrimPrefix(m, "{{"), "|json}}")
		if v, ok := values[name]; ok {
			return v
		}
		return "8000"
	})
}

func loadText(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return LoadSettings(path)
}

// Guards against a template that gives other settings than the program reads, and
// against settings that fail late or without a clear error.
func TestLoadSettings(t *testing.T) {
	good := sampleSettings(t)
	s, err := loadText(t, good)
	require.NoError(t, err)
	require.Equal(t, "10.1.0.19:8749", s.CallerAddress)
	require.Equal(t, [2]int{7580, 7595}, s.PeerPorts)
	_, err = loadText(t, strings.Replace(good, "{", `{"newer": {"x": 1},`, 1))
	require.NoError(t, err, "unknown fields are ignored")

	for name, text := range map[string]string{
		"host":          strings.Replace(good, `"host": "10.1.0.19"`, `"host": "front"`, 1),
		"callerAddress": strings.Replace(good, `"10.1.0.19:8749"`, `"10.1.0.19"`, 1),
		"peerPorts":     strings.Replace(good, `[7580,7595]`, `[7595,7580]`, 1),
		"revokeMs":      strings.Replace(good, `"revokeMs": 8000`, `"revokeMs": 0`, 1),
		"id":            strings.Replace(good, `"id": "entry-1",`, "", 1),
	} {
		require.NotEqual(t, good, text, name)
		_, err := loadText(t, text)
		require.ErrorContains(t, err, name)
	}
	_, err = loadText(t, "{")
	require.Error(t, err)
	_, err = LoadSettings(filepath.Join(t.TempDir(), "missing"))
	require.ErrorContains(t, err, "set the path")
}
