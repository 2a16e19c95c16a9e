package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleSettings = `// a comment
{
  "id": "entry-1", "host": "10.1.0.19", "failureDomain": "a", "callerAddress": "10.1.0.19:8749", "readyAddress": "10.1.0.19:8741",
  "logAddress": "10.200.1.7:8744", "peerPorts": [7580,7595], "drainMs": 2000, "graceS": 8, "revokeMs": 5000,
  "budgetRatio": 0.2, "budgetWindowS": 10, "versionMs": 10000, "orderHandoverMs": 3000, "memoryMb": 134,
}`

func loadSettingsText(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return LoadSettings(path)
}

// withScheduling returns the sample with an object scheduling that has the given fields.
func withScheduling(fields string) string {
	return strings.Replace(sampleSettings, "{", `{"scheduling": {`+fields+`},`, 1)
}

// Guards against invalid settings that are accepted, or rejected without naming the setting.
func TestLoadSettings(t *testing.T) {
	good := sampleSettings
	s, err := loadSettingsText(t, good)
	require.NoError(t, err)
	require.Equal(t, "10.1.0.19:8749", s.CallerAddress)
	require.Equal(t, [2]int{7580, 7595}, s.PeerPorts)
	_, err = loadSettingsText(t, strings.Replace(good, "{", `{"newer": {"x": 1},`, 1))
	require.NoError(t, err, "unknown fields are ignored")
	require.Zero(t, s.HeldBytesMb)
	for _, held := range []string{`"memoryMb": 134, "heldBytesMb": 67`, `"heldBytesMb": 1000`, `"memoryMb": 134, "heldBytesMb": 0`, `"heldBytesMb": 0.5`} {
		_, err = loadSettingsText(t, strings.Replace(good, `"memoryMb": 134`, held, 1))
		require.NoError(t, err, held)
	}

	require.Nil(t, s.Scheduling)
	s, err = loadSettingsText(t, withScheduling(`"rankedQueues": true, "lateRequests": true, "fairShare": true, "retryRefused": 1`))
	require.NoError(t, err)
	require.Equal(t, &Scheduling{RankedQueues: true, LateRequests: true, FairShare: true, RetryRefused: 1}, s.Scheduling)

	require.Zero(t, s.SecondAttemptShare, "off if absent")
	s, err = loadSettingsText(t, strings.Replace(good, "{", `{"secondAttemptShare": 0.1,`, 1))
	require.NoError(t, err)
	require.Equal(t, 0.1, s.SecondAttemptShare)

	for name, text := range map[string]string{
		"host":           strings.Replace(good, `"host": "10.1.0.19"`, `"host": "front"`, 1),
		"callerAddress":  strings.Replace(good, `"10.1.0.19:8749"`, `"10.1.0.19"`, 1),
		"peerPorts":      strings.Replace(good, `[7580,7595]`, `[7595,7580]`, 1),
		"revokeMs":       strings.Replace(good, `"revokeMs": 5000`, `"revokeMs": 0`, 1),
		"operatorPollMs": strings.Replace(good, "{", `{"operatorPollMs": 499,`, 1),
		"500 to 2500":    strings.Replace(good, "{", `{"operatorPollMs": 2501,`, 1),
		"id":             strings.Replace(good, `"id": "entry-1",`, "", 1),
		"scheduling.retryRefused is 3; want 0 to 2":                             withScheduling(`"retryRefused": 3`),
		"scheduling.retryRefused is -1; want":                                   withScheduling(`"retryRefused": -1`),
		"scheduling.retryRefused is a string; want a value of type int":         withScheduling(`"retryRefused": "1"`),
		"scheduling.retryRefused is a number 0.5; want a value of type int":     withScheduling(`"retryRefused": 0.5`),
		"scheduling.rankedQueues is a number; want a value of type bool":        withScheduling(`"rankedQueues": 1`),
		"scheduling.lateRequests is true without rankedQueues; set":             withScheduling(`"lateRequests": true`),
		"scheduling.fairShare is true without lateRequests or waitingLine; set": withScheduling(`"rankedQueues": true, "fairShare": true`),
		"secondAttemptShare is 0.2; want a share from 0 to 0.1":                 strings.Replace(good, `"budgetRatio": 0.2,`, `"budgetRatio": 0.2, "secondAttemptShare": 0.2,`, 1),
		"secondAttemptShare": strings.Replace(good, `"budgetRatio": 0.2,`, `"budgetRatio": 0.2, "secondAttemptShare": -0.01,`, 1),
		"heldBytesMb is -1; want a number from 0 to 67, half of memoryMb": strings.Replace(good, `"memoryMb": 134`, `"memoryMb": 134, "heldBytesMb": -1`, 1),
		"heldBytesMb is 68":                          strings.Replace(good, `"memoryMb": 134`, `"memoryMb": 134, "heldBytesMb": 68`, 1),
		"heldBytesMb is -2; want a number from 0 up": strings.Replace(good, `"memoryMb": 134`, `"heldBytesMb": -2`, 1),
		"heldBytesMb is a string":                    strings.Replace(good, `"memoryMb": 134`, `"heldBytesMb": "48"`, 1),
	} {
		require.NotEqual(t, good, text, name)
		_, err := loadSettingsText(t, text)
		require.ErrorContains(t, err, name)
	}
	_, err = loadSettingsText(t, "{")
	require.Error(t, err)
	_, err = LoadSettings(filepath.Join(t.TempDir(), "missing"))
	require.ErrorContains(t, err, "set the path")
}
