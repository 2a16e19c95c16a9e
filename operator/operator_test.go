package operator

import (
	"bytes"
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/apierr"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/peer"
	"github.com/galenaweir/galenaweir/rpc"
	standinlog "github.com/galenaweir/galenaweir/standin/logsvc"
)

const validDocument = `{
	// comments are allowed
	"deployment": "d", "failure_domains": {"a": {"region": "r"}}, "priorities": {"standard": {"default_deadline_ms": 1000}},
	"claims": {"partitions": 8, "key_window_seconds": 3600, "group_interval_ms": 40, "max_answer_bytes": 1024},
}`

func writeDocument(t *testing.T, text string) string {
	f := filepath.Join(t.TempDir(), "document.json")
	require.NoError(t, os.WriteFile(f, []byte(text), 0o600))
	return f
}

// Guards against publishing a document with mistyped fields, invalid values or
// unknown plug-ins, or a file that isn't a document at all.
func TestValidate(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"valid", validDocument, ""},
		{"unknown field", `{"deploymnt": "d"}`, "deploymnt"},
		{"invalid", `{"deployment": "d"}`, "priorities: is empty"},
		{"not JSON", `{`, "not valid JSON"},
		{"unknown plug-in", strings.Replace(validDocument, "{", `{"policies": {"routing": "routing.fastest"},`, 1), "routing.prefix_cost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := (&validateCommand{documentOption{writeDocument(t, c.text)}}).Execute(nil)
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
	require.Error(t, (&validateCommand{documentOption{"missing"}}).Execute(nil))
}

// Guards against a diff that shows more or less than the change.
func TestDiff(t *testing.T) {
	s := httptest.NewServer(standinlog.New(0, time.Now).Handler())
	defer s.Close()
	src := versionSource{Log: s.Listener.Addr().String()}
	f := writeDocument(t, validDocument)
	diff := func(path string) string {
		var out bytes.Buffer
		require.NoError(t, (&diffCommand{documentOption: documentOption{path}, versionSource: src, out: &out}).Execute(nil))
		return out.String()
	}
	assert.Contains(t, diff(f), "no version is in force")
	require.NoError(t, (&publishCommand{documentOption: documentOption{f}, versionSource: src}).Execute(nil))
	assert.Contains(t, diff(f), "is version 1, which is in force")
	changed := writeDocument(t, string(bytes.Replace([]byte(validDocument), []byte(`"d"`), []byte(`"e"`), 1)))
	assert.Equal(t, "changes to version 1 (JSON merge patch; null removes):\n{\n  \"deployment\": \"e\"\n}\n", diff(changed))
}

// fakeLog is an in-memory log. Append first adds the concurrent publisher's record, if
// any, then the given one if appendTakesEffect is set, and always returns appendErr.
type fakeLog struct {
	concurrent        []byte
	appendTakesEffect bool
	appendErr         error
	records           []logsvc.Record
}

func (l *fakeLog) append(data []byte) {
	l.records = append(l.records, logsvc.Record{Offset: int64(len(l.records)), Data: data})
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (logsvc.AppendResult, error) {
	if l.concurrent != nil {
		l.append(l.concurrent)
		l.concurrent = nil
	}
	if l.appendTakesEffect {
		l.append(data)
	}
	return logsvc.AppendResult{}, l.appendErr
}

func (l *fakeLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (logsvc.Page, error) {
	return logsvc.Page{NextOffset: int64(len(l.records)), Records: l.records[from:]}, nil
}

// Guards against reporting a publication as not run although it may have taken
// effect, or the other way round; against appending a record that the log already
// has; and against mistaking a concurrent publisher's record for the one appended.
func TestPublishOutcomes(t *testing.T) {
	doc, err := readDocument(writeDocument(t, validDocument))
	require.NoError(t, err)
	other := bytes.Replace(doc, []byte(`"d"`), []byte(`"e"`), 1)
	r, err := newRecord(nil, PublishOptions{Document: other, Publisher: "rival"})
	require.NoError(t, err)
	concurrentRecord, err := proto.Marshal(peer.EncodeConfigRecord(r))
	require.NoError(t, err)
	for _, c := range []struct {
		name    string
		log     fakeLog
		kind    apierr.Kind
		ran     apierr.Ran
		records int
	}{
		{"refused", fakeLog{appendErr: logsvc.ErrRejected}, apierr.LogUnavailable, apierr.NotRun, 0},
		{"unknown", fakeLog{appendErr: logsvc.ErrOutcomeUnknown}, apierr.OutcomeUnknown, apierr.RanUnknown, 0},
		{"lost answer", fakeLog{appendErr: logsvc.ErrOutcomeUnknown, appendTakesEffect: true}, "", "", 1},
		{"lost race", fakeLog{concurrent: concurrentRecord, appendTakesEffect: true}, apierr.InvalidRequest, apierr.NotRun, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := Publish(t.Context(), PublishOptions{Log: &c.log, Document: doc, MaxAttempts: 3, RetryInterval: time.Nanosecond})
			assert.Len(t, c.log.records, c.records)
			if c.kind == "" {
				require.NoError(t, err)
				assert.EqualValues(t, 1, p.Version)
				return
			}
			assert.Equal(t, c.kind, apierr.From(err).Kind, "%v", err)
			assert.Equal(t, c.ran, apierr.From(err).Ran, "%v", err)
		})
	}
}

// Guards against a status report that hides a process that lags behind, isn't ready
// or doesn't answer.
func TestStatusReportsUnhealthyProcesses(t *testing.T) {
	status := func(version int64, ready bool) processStatus {
		return processStatus{Address: "a", Reply: &rpc.StatusReply{Id: "x", Ready: ready, ConfigVersion: version, ConfigHash: []byte{byte(version)}}}
	}
	for _, c := range []struct {
		name     string
		statuses []processStatus
		want     bool
	}{
		{"agreed", []processStatus{status(2, true), status(2, true)}, true},
		{"lagging", []processStatus{status(2, true), status(1, true)}, false},
		{"not ready", []processStatus{status(2, true), status(2, false)}, false},
		{"no answer", []processStatus{status(2, true), {Address: "b", Err: assert.AnError}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, c.want, printStatuses(&out, c.statuses) == nil)
			assert.Contains(t, out.String(), "version")
		})
	}
}
