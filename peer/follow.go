package peer

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaweir/galenaweir/core/config"
	"github.com/galenaweir/galenaweir/logsvc"
	"github.com/galenaweir/galenaweir/node"
	"github.com/galenaweir/galenaweir/rpc"
	"github.com/galenaweir/galenaweir/rpc/dial"
)

// readPage reads the log once from an offset on, waits up to wait for the first
// record, and decodes the records.
func readPage(ctx context.Context, l logsvc.Log, from int64, wait time.Duration) (logsvc.Page, []config.Entry, error) {
	p, err := l.Read(ctx, node.ConfigStream, from, wait)
	if err != nil {
		return p, nil, fmt.Errorf("read the configuration stream: %w", err)
	}
	entries := make([]config.Entry, 0, len(p.Records))
	for _, r := range p.Records {
		entries = append(entries, config.Entry{Offset: r.Offset, TimeMs: r.TimeMs, Record: parseRecord(r.Data)})
	}
	return p, entries, nil
}

// seek reads the whole log without judging it and adopts the newest snapshot.
func seek(ctx context.Context, l logsvc.Log) (*config.State, error) {
	s := config.NewStream()
	var snapshots []config.Entry
	for from := int64(0); ; {
		p, entries, err := readPage(ctx, l, from, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.Record != nil && e.Record.Snapshot {
				snapshots = append(snapshots, e)
			}
			from = e.Offset + 1
		}
		if len(entries) == 0 || from >= p.Next {
			err := s.AdoptSnapshot(p.First, snapshots)
			return s.State(), err
		}
	}
}

// Follow reads the log until the stream is at its end, or stuck in a gap, and
// returns the outcomes of the records on the way. It is for the operators'
// command; processes read page by page.
func Follow(ctx context.Context, l logsvc.Log, s *config.Stream) ([]config.RecordResult, error) {
	if s.State() == nil {
		st, err := seek(ctx, l)
		if err != nil {
			return nil, err
		}
		if st != nil {
			_ = s.Adopt(st) // a fresh stream takes any checked state
		}
	}
	var all []config.RecordResult
	for {
		p, entries, err := readPage(ctx, l, s.NextOffset(), 0)
		if err != nil {
			return all, err
		}
		all = append(all, s.ApplyPage(p.First, p.Next, entries)...)
		if s.AtEnd() || s.Stuck() {
			return all, nil
		}
	}
}

// AppendRecord appends a record to the configuration stream.
func AppendRecord(ctx context.Context, l logsvc.Log, r *config.Record) (int64, error) {
	b, err := proto.Marshal(EncodeRecord(r))
	if err != nil {
		return 0, fmt.Errorf("encode the record: %w", err)
	}
	a, err := l.Append(ctx, node.ConfigStream, b)
	if err != nil {
		return 0, fmt.Errorf("append to the configuration stream: %w", err)
	}
	return a.Offset, nil
}

// fetchStateTimeout bounds FetchState.
const fetchStateTimeout = 5 * time.Second

// FetchState asks one process for its version in force, nil when it has none. It
// is for the operators' command.
func FetchState(ctx context.Context, pool *dial.Pool, address string) (*config.State, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchStateTimeout)
	defer cancel()
	conn, err := pool.Get(address)
	if err != nil {
		return nil, err
	}
	r, err := rpc.NewPeerClient(conn).FetchConfig(ctx, &rpc.FetchConfigRequest{})
	if err != nil {
		return nil, fmt.Errorf("fetch the configuration from %s: %w", address, err)
	}
	w := r.GetState()
	if w.GetVersion() == 0 {
		return nil, nil
	}
	return config.NewState(w.Version, w.Hash, w.Offset, w.Document)
}
