package logsvc

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingReader counts what is read of it.
type countingReader struct {
	r io.Reader
	n int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.n += n
	return n, err
}

func encodePage(t *testing.T, p Page) []byte {
	data, err := json.Marshal(p)
	require.NoError(t, err)
	return data
}

// Guards against a page that takes more memory than a process has, and against a reader that skips
// records of a long page or takes it for the end of the log.
func TestLongPageIsReadInParts(t *testing.T) {
	const records, recordBytes = 1000, 64 << 10
	all := Page{FirstOffset: 5, NextOffset: 5 + records}
	for i := range records {
		all.Records = append(all.Records, Record{Offset: 5 + int64(i), Data: bytes.Repeat([]byte{byte(i)}, recordBytes)})
	}
	var got []Record
	for pages := 0; len(got) < records; pages++ {
		require.Less(t, pages, 10)
		rest := all
		rest.Records = all.Records[len(got):]
		body := &countingReader{r: bytes.NewReader(encodePage(t, rest))}
		p, err := decodePage(body)
		require.NoError(t, err)
		require.Less(t, body.n, 2*maxPageBytes)
		require.Equal(t, all.FirstOffset, p.FirstOffset)
		require.Equal(t, all.NextOffset, p.NextOffset)
		require.NotEmpty(t, p.Records)
		got = append(got, p.Records...)
	}
	require.Equal(t, all.Records, got)
}

// Guards against pages that were read before the change and no longer are, and against malformed
// ones that panic or look complete.
func TestDecodePage(t *testing.T) {
	whole := Page{FirstOffset: 1, NextOffset: 3, Records: []Record{{1, 10, []byte("a")}, {2, 20, nil}}}
	for name, c := range map[string]struct {
		body string
		want Page
		ok   bool
	}{
		"whole":                {string(encodePage(t, whole)), whole, true},
		"no records":           {`{"first":1,"next":1,"records":null}`, Page{FirstOffset: 1, NextOffset: 1}, true},
		"another order":        {`{"records":[{"offset":7}],"next":8,"first":7}`, Page{FirstOffset: 7, NextOffset: 8, Records: []Record{{Offset: 7}}}, true},
		"a further field":      {`{"first":1,"more":{"a":[1,2]},"next":2}`, Page{FirstOffset: 1, NextOffset: 2}, true},
		"cut in a record":      {`{"first":1,"next":3,"records":[{"offset":1},{"off`, Page{}, false},
		"cut after a record":   {`{"first":1,"next":3,"records":[{"offset":1}`, Page{}, false},
		"cut after the list":   {`{"first":1,"next":3,"records":[]`, Page{}, false},
		"a list":               {`[]`, Page{}, false},
		"records of no list":   {`{"records":{}}`, Page{}, false},
		"empty":                {``, Page{}, false},
		"the end comes late":   {`{"records":[` + strings.Repeat(`{"data":"`+strings.Repeat("A", 1<<20)+`"},`, 20) + `{}],"next":22}`, Page{}, false},
		"a number of no digit": {`{"first":"x"}`, Page{}, false},
	} {
		p, err := decodePage(strings.NewReader(c.body))
		require.Equal(t, c.ok, err == nil, "%s: %v", name, err)
		if c.ok {
			require.Equal(t, c.want, p, name)
		}
	}
}

// Guards against a record without end that fills the memory.
func TestRecordWithoutEndIsBounded(t *testing.T) {
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"first":1,"next":3,"records":[{"data":"`)
		for chunk := strings.Repeat("A", 64<<10); err == nil; sent.Add(int64(len(chunk))) {
			_, err = io.WriteString(w, chunk)
		}
	}))
	defer srv.Close()
	_, err := New(srv.Listener.Addr().String(), time.Minute).Read(t.Context(), "s", 1, 0)
	require.ErrorIs(t, err, ErrUnavailable)
	const buffered = 16 << 20 // in sockets and writers
	require.Less(t, sent.Load(), int64(maxPageBytes+maxRecordBytes+buffered))
}
