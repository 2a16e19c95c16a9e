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

// readPage reads one page of the configuration stream from the offset and decodes
// its records. It waits up to maxWait for the first record.
func readPage(ctx context.Context, log logsvc.Log, from int64, maxWait time.Duration) (logsvc.Page, []config.Entry, error) {
	page, err := log.Read(ctx, node.ConfigStream, from, maxWait)
	if err != nil {
		return page, nil, fmt.Errorf("read the configuration stream: %w", err)
	}
	entries := make([]config.Entry, 0, len(page.Records))
	for _, r := range page.Records {
		entries = append(entries, config.Entry{Offset: r.Offset, TimeMs: r.TimeMs, Record: parseRecord(r.Data)})
	}
	return page, entries, nil
}

// newestSnapshot reads the whole log, without validating its records, and returns the
// state of the newest usable snapshot, or nil if there is none.
func newestSnapshot(ctx context.Context, log logsvc.Log) (*config.State, error) {
	stream := config.NewStream()
	var snapshots []config.Entry
	for from := int64(0); ; {
		page, entries, err := readPage(ctx, log, from, 0)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if e.Record != nil && e.Record.Snapshot {
				snapshots = append(snapshots, e)
			}
			from = e.Offset + 1
		}
		if len(entries) == 0 || from >= page.NextOffset {
			err := stream.AdoptSnapshot(page.FirstOffset, snapshots)
			return stream.State(), err
		}
	}
}

// ReadConfigStream reads the log until the stream reaches its end or is stuck in a gap.
// It returns the results of the records that it read. Only the operator's commands use
// it; a Peer reads one page at a time.
func ReadConfigStream(ctx context.Context, log logsvc.Log, stream *config.Stream) ([]config.RecordResult, error) {
	if stream.State() == nil {
		st, err := newestSnapshot(ctx, log)
		if err != nil {
			return nil, err
		}
		if st != nil {
			_ = stream.Adopt(st) // a new stream adopts any validated state
		}
	}
	var results []config.RecordResult
	for {
		page, entries, err := readPage(ctx, log, stream.NextOffset(), 0)
		if err != nil {
			return results, err
		}
		results = append(results, stream.ApplyPage(page.FirstOffset, page.NextOffset, entries)...)
		if stream.AtEnd() || stream.Stuck() {
			return results, nil
		}
	}
}

// AppendConfigRecord appends a record to the configuration stream.
func AppendConfigRecord(ctx context.Context, log logsvc.Log, r *config.Record) (int64, error) {
	b, err := proto.Marshal(EncodeConfigRecord(r))
	if err != nil {
		return 0, fmt.Errorf("encode the configuration record: %w", err)
	}
	appended, err := log.Append(ctx, node.ConfigStream, b)
	if err != nil {
		return 0, fmt.Errorf("append to the configuration stream: %w", err)
	}
	return appended.Offset, nil
}

// fetchStateTimeout bounds FetchConfigState.
const fetchStateTimeout = 5 * time.Second

// FetchConfigState fetches the current configuration of one process. It returns nil if
// the process has none. Only the operator's commands use it.
func FetchConfigState(ctx context.Context, pool *dial.Pool, address string) (*config.State, error) {
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
	state := r.GetState()
	if state.GetVersion() == 0 {
		return nil, nil
	}
	return config.NewState(state.Version, state.Hash, state.Offset, state.Document)
}
