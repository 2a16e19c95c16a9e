package gateway

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Decoders of the most frequent elements of a load report. Without them the decoder looks up and
// sets each field by reflection, which costs several times the processor time.

// isArrayOf reports whether the next value is an array of n elements, at most 15.
func isArrayOf(d *msgpack.Decoder, n byte) (bool, error) {
	c, err := d.PeekCode()
	return c == msgpcode.FixedArrayLow|n, err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *reportLoad) DecodeMsgpack(d *msgpack.Decoder) error {
	const fields = 6
	if short, err := isArrayOf(d, fields); err != nil || !short {
		type plain reportLoad // has no DecodeMsgpack
		return errors.Join(err, d.Decode((*plain)(l)))
	}
	if _, err := d.DecodeArrayLen(); err != nil {
		return err
	}
	var err error
	if l.Endpoint, err = d.DecodeUint32(); err != nil {
		return err
	}
	for _, n := range []*int{&l.Active, &l.Waiting, &l.Prefill, &l.Memory, &l.Long} {
		if *n, err = d.DecodeInt(); err != nil {
			return err
		}
	}
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (u *reportUse) DecodeMsgpack(d *msgpack.Decoder) error {
	const fields = 3
	if short, err := isArrayOf(d, fields); err != nil || !short {
		type plain reportUse // has no DecodeMsgpack
		return errors.Join(err, d.Decode((*plain)(u)))
	}
	if _, err := d.DecodeArrayLen(); err != nil {
		return err
	}
	var err error
	if u.Endpoint, err = d.DecodeUint32(); err != nil {
		return err
	}
	if u.Part, err = d.DecodeUint64(); err != nil {
		return err
	}
	u.Tokens, err = d.DecodeInt()
	return err
}

// decodeElement decodes an element of a list, without a look-up of its decoder if it has one.
func decodeElement(d *msgpack.Decoder, v any) error {
	if c, ok := v.(msgpack.CustomDecoder); ok {
		return c.DecodeMsgpack(d)
	}
	return d.Decode(v)
}
