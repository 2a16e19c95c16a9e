package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
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
	r.Extension.Ranks = []reportRanks{{endpointHash("e0"), forward.RankedTokens{50, 0, 100}}}
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
		"no ranks":       "\x81\xa5ranks\x91\x90",
		"many ranks":     "\x81\xa5ranks\x91\x9c\x01\x01\x01\x01\x01\x01\x01\x01\x01\x01\x01\x01",
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

// Guards against a report of a large deployment that no longer fits a datagram: 60 endpoints with
// waiting prefill of all ranks, and as many parts of prompts as one report holds.
func TestReportOfALargeDeploymentFitsADatagram(t *testing.T) {
	r := &loadReport{Protocol: reportProtocol, Member: "10.100.100.100:12345", Seq: 1 << 60}
	for i := range 60 {
		h := uint32(1<<31 + i)
		r.Loads = append(r.Loads, reportLoad{h, 64, 64, 120_000, 500_000, 64})
		ranks := reportRanks{Endpoint: h}
		for k := range ranks.Prefill {
			ranks.Prefill[k] = 12_000
		}
		r.Extension.Ranks = append(r.Extension.Ranks, ranks)
	}
	for range maxReportedParts {
		r.Uses = append(r.Uses, reportUse{1 << 31, 1 << 63, 9_122})
		r.Extension.Reuses = append(r.Extension.Reuses, reportReuse{1 << 31, 1 << 60, 2_000})
	}
	data, err := encodeReport(r)
	require.NoError(t, err)
	t.Logf("%d bytes", len(data))
	read, err := decodeReport(data)
	require.NoError(t, err)
	require.Equal(t, r.Extension, read.Extension)
}

// Guards against ranks that are lost between entries, and against prefill of peers of the previous
// release, or of contradictory ranks, that urgent prompts don't count.
func TestPeersLoadsByRank(t *testing.T) {
	h := endpointHash("e0")
	for name, c := range map[string]struct {
		ranks boundedList[reportRanks]
		ahead int // of a prompt of rank 1, of 30,000 tokens in all
	}{
		"previous release": {nil, 30_000},
		"ranks":            {boundedList[reportRanks]{{h, forward.RankedTokens{1_000, 2_000, 27_000}}}, 5_048},
		"part of them":     {boundedList[reportRanks]{{h, forward.RankedTokens{2: 20_000}}}, 12_048},
		"too many":         {boundedList[reportRanks]{{h, forward.RankedTokens{2: 31_000}}}, 30_000},
		"negative":         {boundedList[reportRanks]{{h, forward.RankedTokens{-1_000, 0, 27_000}}}, 30_000},
		"another endpoint": {boundedList[reportRanks]{{h + 1, forward.RankedTokens{1_000}}}, 30_000},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			sent := testReport("10.0.0.1:7", 5, 300)
			sent.Extension.Ranks = c.ranks
			data, err := encodeReport(sent)
			require.NoError(t, err)
			r, err := decodeReport(data)
			require.NoError(t, err)
			f.applyReport(r)
			l := f.state.peerLoads.load("e0")
			require.Equal(t, c.ahead, l.AheadOf(1).PrefillTokens)
			f.clock.advance(reportTTL)
			f.state.peerLoads.expire(f.clock.read())
			require.Empty(t, f.state.peerLoads.totals)
		})
	}
}
