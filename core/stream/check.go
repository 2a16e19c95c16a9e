// Package stream validates the sequence of frames of one attempt. Each frame must
// carry the attempt's and the customer's ID and the next sequence number, and the
// answer is complete only after an end frame that states its length.
package stream

// Verdict is the result of checking a frame.
type Verdict int

// The verdicts of Checker.Frame.
const (
	Accept    Verdict = iota // it is the next frame of the attempt
	Duplicate                // it was accepted before and must be dropped
	Foreign                  // it belongs to another attempt or customer; drop and count it
	Gap                      // frames before it are missing; resume the stream at Next
)

// Checker accepts the frames of one attempt in order. Invariant: the text accepted so
// far is a prefix of the attempt's text.
type Checker struct {
	attempt  string
	customer string
	next     uint64
	length   uint64
	ended    bool
}

// NewChecker returns a Checker that expects sequence number 0.
func NewChecker(attempt, customer string) *Checker {
	return &Checker{attempt: attempt, customer: customer}
}

// Next returns the next expected sequence number.
func (c *Checker) Next() uint64 { return c.next }

// Length returns the length of the accepted text in bytes.
func (c *Checker) Length() uint64 { return c.length }

// Complete reports whether the end frame was accepted, which requires that the length
// that it states is the length of the accepted text.
func (c *Checker) Complete() bool { return c.ended }

// Frame checks a text frame of textBytes bytes.
func (c *Checker) Frame(attempt, customer string, seq uint64, textBytes int) Verdict {
	v := c.classify(attempt, customer, seq)
	if v == Accept {
		c.next++
		c.length += uint64(textBytes)
	}
	return v
}

// End checks the end frame, which states the length of the whole text in bytes. If
// the accepted text has another length, it returns Gap.
func (c *Checker) End(attempt, customer string, seq, lengthBytes uint64) Verdict {
	if v := c.classify(attempt, customer, seq); v != Accept {
		return v
	}
	if lengthBytes != c.length {
		return Gap
	}
	c.next++
	c.ended = true
	return Accept
}

func (c *Checker) classify(attempt, customer string, seq uint64) Verdict {
	switch {
	case attempt != c.attempt || customer != c.customer:
		return Foreign
	case seq < c.next || c.ended:
		return Duplicate
	case seq > c.next:
		return Gap
	}
	return Accept
}
