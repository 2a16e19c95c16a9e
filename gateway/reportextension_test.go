package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// previousReport has the fields of a load report of the previous release, which reads it with
// msgpack.Unmarshal.
type previousReport struct {
	Protocol string
	Member   string
	Seq      int64
	Loads    boundedList[reportLoad]
	Uses     boundedList[reportUse]
	Loading  boundedList[uint32]
	Emptying boundedList[uint32]
	Saves    boundedList[reportUse]
	Loaded   boundedList[reportVersion]
	Limits   boundedList[reportLimit]
	Parts    boundedList[reportPart]
}

func extendedReport() *loadReport {
	r := testReport("10.0.0.1:7", 5, 2)
	r.Extension.Reuses = []reportReuse{{endpointHash("e0"), 1, 1500}}
	return r
}

// Guards against entries of two releases that can't read each other's load reports while a release is
// under way.
func TestReportsOfTwoReleasesAreReadable(t *testing.T) {
	r := extendedReport()
	data, err := encodeReport(r)
	require.NoError(t, err)
	var previous previousReport
	require.NoError(t, msgpack.Unmarshal(data, &previous))
	require.Equal(t, r.Loads, previous.Loads)
	require.Equal(t, r.Seq, previous.Seq)

	data, err = encodeMessage(&previous)
	require.NoError(t, err)
	read, err := decodeReport(data)
	require.NoError(t, err)
	require.Equal(t, r.Loads, read.Loads)
	require.Equal(t, reportExtension{}, read.Extension)

	extension, err := encodeMessage(map[string]any{"newer": []int{1}, extensionReuses: r.Extension.Reuses})
	require.NoError(t, err)
	read, err = decodeReport(append(data, extension...))
	require.NoError(t, err, "a name of a later release")
	require.Equal(t, r.Extension.Reuses, read.Extension.Reuses)
}

// Guards against a malformed extension that is applied in part.
func TestMalformedExtensionsAreRejected(t *testing.T) {
	data, err := encodeReport(testReport("10.0.0.1:7", 5, 2))
	require.NoError(t, err)
	for name, extension := range map[string]string{
		"no map":         "\x01",
		"truncated":      "\x81\xa6reused",
		"endless map":    "\xdf\xff\xff\xff\xff",
		"endless list":   "\x81\xa6reused\xdd\xff\xff\xff\xff",
		"name no string": "\x81\x01\x01",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeReport(append(data[:len(data):len(data)], extension...))
			require.Error(t, err)
		})
	}
}

// Guards against datagrams that are truncated, and so not read at all, because of the extension.
func TestExtensionLeavesTheDatagramReadable(t *testing.T) {
	r := extendedReport()
	for {
		r.Uses = append(r.Uses, reportUse{1 << 31, 1 << 63, 70_000})
		data, err := encodeReport(r)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxReportBytes)
		read, err := decodeReport(data)
		require.NoError(t, err)
		require.Len(t, read.Uses, len(r.Uses))
		if len(read.Extension.Reuses) == 0 {
			break // there was no room for it
		}
	}
	require.Greater(t, len(r.Uses), 6*maxReportedParts, "the extension left out although there was room")
}
