package gateway

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/galenaweir/galenaweir/core/forward"
)

// reportRanks is the waiting prefill by rank that the sender of a report has placed on an endpoint. It
// is encoded as an array of the hash and the tokens up to the last rank with any.
type reportRanks struct {
	Endpoint uint32 // hash of the endpoint's ID
	Prefill  forward.RankedTokens
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r reportRanks) EncodeMsgpack(e *msgpack.Encoder) error {
	n := forward.RankCount
	for n > 0 && r.Prefill[n-1] == 0 {
		n--
	}
	if err := e.EncodeArrayLen(1 + n); err != nil {
		return err
	}
	if err := e.EncodeUint(uint64(r.Endpoint)); err != nil {
		return err
	}
	for _, tokens := range r.Prefill[:n] {
		if err := e.EncodeInt(int64(tokens)); err != nil {
			return err
		}
	}
	return nil
}

var errRanks = errors.New("the number of ranks of an endpoint is out of range")

// DecodeMsgpack implements msgpack.CustomDecoder.
func (r *reportRanks) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil || n < 1 || n > 1+forward.RankCount {
		return errors.Join(err, errRanks)
	}
	*r = reportRanks{}
	if r.Endpoint, err = d.DecodeUint32(); err != nil {
		return err
	}
	for i := range n - 1 {
		if r.Prefill[i], err = d.DecodeInt(); err != nil {
			return err
		}
	}
	return nil
}

// ranksToReport returns the waiting prefill by rank that this process has placed on endpoints.
func (s *state) ranksToReport() (out boundedList[reportRanks]) {
	for _, e := range s.endpoints {
		if e.load.PrefillByRank != (forward.RankedTokens{}) {
			out = append(out, reportRanks{e.hash, e.load.PrefillByRank})
		}
	}
	return out
}

// applyRanks adds the ranks in a peer's report to its loads. If they contradict a load, its prefill
// counts for all ranks.
func applyRanks(loads map[uint32]forward.EndpointLoad, ranks []reportRanks) {
	for _, r := range ranks {
		if l, ok := loads[r.Endpoint]; ok && r.Prefill.Valid(l.PrefillTokens) {
			l.PrefillByRank = r.Prefill
			loads[r.Endpoint] = l
		}
	}
}
