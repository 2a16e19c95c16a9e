package gateway

import (
	"bytes"
	"errors"

	"github.com/vmihailenco/msgpack/v5"
)

// reportExtension holds what a load report states beyond the fields of the first release. It follows
// the report in the same datagram, as a map from names to values: a release that reads a report as an
// array rejects one with another number of fields, but ignores what follows it. Unknown names are
// skipped.
type reportExtension struct {
	Reuses  boundedList[reportReuse]
	Ranks   boundedList[reportRanks]
	WarmUps boundedList[reportWarmUp]
}

// Names in the map.
const (
	extensionReuses  = "reused"
	extensionRanks   = "ranks"
	extensionWarmUps = "warmUps"
)

// maxReportBytes leaves room in a datagram for the message in which a report is passed on.
const maxReportBytes = maxDatagram - 64

var errExtensionTooLong = errors.New("the extension of the report has too many names")

// maxExtensionNames bounds the map, as the decoder would go on for any stated number.
const maxExtensionNames = 32

// values returns the values to send, by name.
func (x *reportExtension) values() map[string]any {
	out := map[string]any{}
	if len(x.Reuses) > 0 {
		out[extensionReuses] = x.Reuses
	}
	if len(x.Ranks) > 0 {
		out[extensionRanks] = x.Ranks
	}
	if len(x.WarmUps) > 0 {
		out[extensionWarmUps] = x.WarmUps
	}
	return out
}

// target returns where to decode a value, nil if the name isn't known.
func (x *reportExtension) target(name string) any {
	switch name {
	case extensionReuses:
		return &x.Reuses
	case extensionRanks:
		return &x.Ranks
	case extensionWarmUps:
		return &x.WarmUps
	}
	return nil
}

func encodeReport(r *loadReport) ([]byte, error) {
	data, err := encodeMessage(r)
	values := r.Extension.values()
	for err == nil && len(values) > 0 {
		extension, err := encodeMessage(values)
		if len(data)+len(extension) <= maxReportBytes {
			return append(data, extension...), err
		}
		if _, ranked := values[extensionRanks]; !ranked {
			break
		}
		delete(values, extensionRanks) // the loads without their ranks are of use; a truncated datagram is not
	}
	return data, err
}

// decodeReport decodes a load report with or without an extension.
func decodeReport(data []byte) (*loadReport, error) {
	var r loadReport
	in := bytes.NewReader(data)
	d := msgpack.GetDecoder()
	defer msgpack.PutDecoder(d)
	d.UsePreallocateValues(true)
	d.Reset(in)
	if err := d.Decode(&r); err != nil || in.Len() == 0 {
		return &r, err
	}
	n, err := d.DecodeMapLen()
	if err != nil || n > maxExtensionNames {
		return nil, errors.Join(err, errExtensionTooLong)
	}
	for range n {
		name, err := d.DecodeString()
		if err != nil {
			return nil, err
		}
		if to := r.Extension.target(name); to != nil {
			err = decodeElement(d, to)
		} else {
			err = d.Skip()
		}
		if err != nil {
			return nil, err
		}
	}
	return &r, nil
}
