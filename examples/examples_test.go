// Package examples contains the configuration and settings of the two example
// deployments.
package examples

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/settings"
)

// claimPartitions is the default from docs/design.md, section 7. The number of
// partitions can't be increased after a deployment has started.
const claimPartitions = 16

// Guards against example files that the programs reject, that don't match the
// deployments described in docs/design.md, section 1, or whose demo keys are invalid.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		deployment, model, service             string
		servers, replicas, domains, maxLoading int
	}{
		{"guj-west", "naviq-llm", "levy-core", 12, 3, 3, 2},
		{"gt-central", "redactor", "expedientes", 18, 4, 4, 3},
	} {
		t.Run(c.deployment, func(t *testing.T) {
			b, err := os.ReadFile(filepath.Join(c.deployment, "configuration.json"))
			require.NoError(t, err)
			d := json.NewDecoder(bytes.NewReader(b))
			d.DisallowUnknownFields()
			var doc config.Document
			require.NoError(t, d.Decode(&doc))
			require.NoError(t, doc.Validate())
			require.Len(t, doc.FailureDomains, c.domains)
			require.Len(t, doc.Customers, 10)
			require.Len(t, doc.Stores, 2)
			require.Equal(t, claimPartitions, doc.Claims.Partitions)
			require.Equal(t, c.maxLoading, doc.Models[c.model].MaxLoading)
			endpointCounts := map[string]int{}
			addresses := map[string]bool{}
			for _, e := range doc.Endpoints {
				endpointCounts[e.Model+e.Service]++
				addresses[e.Address] = true
			}
			require.Equal(t, map[string]int{c.model: c.servers, c.service: c.replicas}, endpointCounts)
			require.Len(t, addresses, c.servers+c.replicas, "each endpoint has a unique address")
			for id, customer := range doc.Customers {
				requireDemoKey(t, id, customer.Keys["demo"])
			}
			for _, file := range []string{"entry.jsonc", "agent.jsonc"} {
				s, err := settings.Load(filepath.Join(c.deployment, file))
				require.NoError(t, err)
				require.Contains(t, doc.FailureDomains, s.FailureDomain)
				require.False(t, s.TLS.Off)
			}
		})
	}
}

func requireDemoKey(t *testing.T, id string, k config.Key) {
	secret := sha256.Sum256([]byte("demo key of " + id))
	salt, err := hex.DecodeString(k.Salt)
	require.NoError(t, err)
	sum := sha256.Sum256(append(salt, hex.EncodeToString(secret[:])...))
	require.Equal(t, hex.EncodeToString(sum[:]), k.SHA256, id)
}
