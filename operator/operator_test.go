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

const valid = `{
	// comments are allowed
	"deployment": "d", "failure_domains": {"a": {"region": "r"}}, "priorities": {"standard": {"default_deadline_ms": 1000}},
	"claims": {"partitions": 8, "key_window_seconds": 3600, "group_interval_ms": 40, "max_answer_bytes": 1024},
}`

func write(t *testing.T, text string) string {
	f := filepath.Join(t.TempDir(), "document.json")
	require.NoError(t, os.WriteFile(f, []byte(text), 0o600))
	return f
}

// Guards against documents that are published with mistyped fields, invalid
// values, or as something else than a document.
func TestValidate(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"valid", valid, ""},
		{"unknown field", `{"deploymnt": "d"}`, "deploymnt"},
		{"invalid", `{"deployment": "d"}`, "priorities: is empty"},
		{"not JSON", `{`, "not valid JSON"},
		{"unknown plug-in", strings.Replace(valid, "{", `{"policies": {"routing": "routing.fastest"},`, 1), "routing.prefix_cost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := (&validateCommand{file{write(t, c.text)}}).Execute(nil)
			if c.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, c.want)
		})
	}
	require.Error(t, (&validateCommand{file{"missing"}}).Execute(nil))
}

// Guards against a difference that shows anything but the change.
func TestDiff(t *testing.T) {
	s := httptest.NewServer(standinlog.New(0, time.Now).Handler())
	defer s.Close()
	src := source{Log: s.Listener.Addr().String()}
	f := write(t, valid)
	diff := func(path string) string {
		var out bytes.Buffer
		require.NoError(t, (&diffCommand{file: file{path}, source: src, out: &out}).Execute(nil))
		return out.String()
	}
	assert.Contains(t, diff(f), "no version is in force")
	require.NoError(t, (&publishCommand{file: file{f}, source: src}).Execute(nil))
	assert.Contains(t, diff(f), "is version 1, which is in force")
	changed := write(t, string(bytes.Replace([]byte(valid), []byte(`"d"`), []byte(`"e"`), 1)))
	assert.Equal(t, "changes to version 1 (JSON merge patch; null removes):\n{\n  \"deployment\": \"e\"\n}\n", diff(changed))
}

// memLog is a log in memory whose appends fail with or without effect, after a
// rival's record.
type memLog struct {
	rival   []byte
	effect  bool
	err     error
	records []logsvc.Record
}

func (l *memLog) append(data []byte) {
	l.records = append(l.records, logsvc.Record{Offset: int64(len(l.records)), Data: data})
}

func (l *memLog) Append(_ context.Context, _ string, data []byte) (logsvc.AppendResult, error) {
	if l.rival != nil {
		l.append(l.rival)
		l.rival = nil
	}
	if l.effect {
		l.append(data)
	}
	return logsvc.AppendResult{}, l.err
}

func (l *memLog) Read(_ context.Context, _ string, from int64, _ time.Duration) (logsvc.Page, error) {
	return logsvc.Page{NextOffset: int64(len(l.records)), Records: l.records[from:]}, nil
}

// Guards against a publication that is reported as without effect when it may
// have one or the other way round, that is sent again although the log has it,
// and against a rival's record that is taken for the own one.
func TestOutcomes(t *testing.T) {
	doc, err := readDocument(write(t, valid))
	require.NoError(t, err)
	other := bytes.Replace(doc, []byte(`"d"`), []byte(`"e"`), 1)
	r, err := newRecord(nil, PublishOptions{Document: other, Publisher: "rival"})
	require.NoError(t, err)
	rival, err := proto.Marshal(peer.EncodeConfigRecord(r))
	require.NoError(t, err)
	for _, c := range []struct {
		name    string
		log     memLog
		kind    apierr.Kind
		ran     apierr.Ran
		records int
	}{
		{"refused", memLog{err: logsvc.ErrRejected}, apierr.LogUnavailable, apierr.NotRun, 0},
		{"unknown", memLog{err: logsvc.ErrOutcomeUnknown}, apierr.OutcomeUnknown, apierr.RanUnknown, 0},
		{"lost answer", memLog{err: logsvc.ErrOutcomeUnknown, effect: true}, "", "", 1},
		{"lost race", memLog{rival: rival, effect: true}, apierr.InvalidRequest, apierr.NotRun, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, err := Publish(t.Context(), PublishOptions{Log: &c.log, Document: doc, Attempts: 3, Retry: time.Nanosecond})
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

// Guards against a status that hides a process that lags or isn't ready.
func TestStatusReportsDisagreement(t *testing.T) {
	at := func(version int64, ready bool) statusOf {
		return statusOf{Address: "a", Reply: &rpc.StatusReply{Id: "x", Ready: ready, ConfigVersion: version, ConfigHash: []byte{byte(version)}}}
	}
	for _, c := range []struct {
		name string
		ss   []statusOf
		want bool
	}{
		{"agreed", []statusOf{at(2, true), at(2, true)}, true},
		{"lagging", []statusOf{at(2, true), at(1, true)}, false},
		{"not ready", []statusOf{at(2, true), at(2, false)}, false},
		{"no answer", []statusOf{at(2, true), {Address: "b", Err: assert.AnError}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			assert.Equal(t, c.want, printStatuses(&out, c.ss) == nil)
			assert.Contains(t, out.String(), "version")
		})
	}
}
