package logsvc

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// errUnexpectedToken is returned for a page of another form than Page.
var errUnexpectedToken = errors.New("the page is no object with a list of records")

// errNoEnd is returned for a long page that states the log's end only after its records.
var errNoEnd = fmt.Errorf("the first %d bytes of the page don't state the log's end", maxPageBytes)

// decodePage decodes a page record by record, and leaves out records beyond maxPageBytes. As with a
// page that the log itself cuts, the reader goes on after the last one.
func decodePage(r io.Reader) (Page, error) {
	var p Page
	dec := json.NewDecoder(r)
	if err := expectDelim(dec, '{'); err != nil {
		return p, err
	}
	endKnown := false
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return p, err
		}
		switch key {
		case "first":
			err = dec.Decode(&p.FirstOffset)
		case "next":
			err, endKnown = dec.Decode(&p.NextOffset), true
		case "records":
			var cut bool
			if p.Records, cut, err = decodeRecords(dec); cut {
				if !endKnown {
					return p, errNoEnd
				}
				return p, nil
			}
		default:
			err = dec.Decode(new(json.RawMessage))
		}
		if err != nil {
			return p, err
		}
	}
	return p, expectDelim(dec, '}')
}

// decodeRecords decodes the records of a page. It reports whether it has left out some.
func decodeRecords(dec *json.Decoder) (records []Record, cut bool, err error) {
	switch t, err := dec.Token(); {
	case err != nil:
		return nil, false, err
	case t == nil:
		return nil, false, nil // null
	case t != json.Delim('['):
		return nil, false, errUnexpectedToken
	}
	for dec.More() {
		if len(records) > 0 && dec.InputOffset() >= maxPageBytes {
			return records, true, nil
		}
		var r Record
		if err := dec.Decode(&r); err != nil {
			return nil, false, err
		}
		records = append(records, r)
	}
	return records, false, expectDelim(dec, ']')
}

func expectDelim(dec *json.Decoder, want json.Delim) error {
	t, err := dec.Token()
	if err == nil && t != want {
		err = errUnexpectedToken
	}
	return err
}
