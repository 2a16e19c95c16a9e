package config

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzDocument guards against a document that crashes the processes that read it, and
// against one whose validity changes when it is encoded and decoded again.
func FuzzDocument(f *testing.F) {
	for _, seed := range []string{
		`{}`, `null`, `[]`, `{"customers":{"a":{}}}`, `{"customers":{"a":null},"links":{"l":{"from":"x","to":"*"}}}`,
		`{"endpoints":{"e":{"address":"10.0.0.1:70000","model":"m"}}}`, `{"priorities":{"p":{"min_share":1e308}}}`,
		`{"deployment":"d","failure_domains":{"f":{"region":"r"}},"priorities":{"p":{"default_deadline_ms":1}},"claims":{"partitions":8,"key_window_seconds":86400,"group_interval_ms":40,"max_answer_bytes":1}}`,
		`{"services":{"s":{"rules":[{"path_prefix":""}]}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var d, again Document
		if json.Unmarshal(b, &d) != nil {
			return
		}
		first := d.Validate()
		var invalid *ValidationError
		require.True(t, first == nil || (errors.As(first, &invalid) && len(invalid.Problems) > 0))
		encoded, err := json.Marshal(d)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(encoded, &again))
		require.Equal(t, first, again.Validate())
	})
}
