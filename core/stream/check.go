// Package stream checks the frames of one attempt: each must name the attempt
// and the customer and follow in sequence, and only an end frame with the right
// length makes an answer whole.
package stream

// Verdict says what to do with a frame.
type Verdict int

// The verdicts of Checker.Frame.
const (
	Accept    Verdict = iota // the next frame of the attempt
	Duplicate                // seen already, dropped
	Foreign                  // of another attempt or customer, dropped and counted
	Gap                      // frames are missing: resume at Next
)

// Checker accepts the frames of one attempt in order. Its invariant: the text
// accepted so far is exactly the attempt's text from its first byte on.
type Checker struct {
	attempt  string
	customer string
	next     uint64
	length   uint64
	ended    bool
}

// NewChecker returns a checker that expects sequence number 0 first.
func NewChecker(attempt, customer string) *Checker {
	return &Checker{attempt: attempt, customer: customer}
}

// Next returns the sequence number that is expected next.
func (c *Checker) Next() uint64 { return c.next }

// Length returns the number of bytes of text accepted so far.
func (c *Checker) Length() uint64 { return c.length }

// Whole reports whether the end frame was accepted with the right length.
func (c *Checker) Whole() bool { return c.ended }

// Frame checks a frame that carries textBytes bytes of text.
func (c *Checker) Frame(attempt, customer string, seq uint64, textBytes int) Verdict {
	v := c.peek(attempt, customer, seq)
	if v == Accept {
		c.next++
		c.length += uint64(textBytes)
	}
	return v
}

// End checks the end frame, which states the length of the whole text in bytes.
// A wrong length is a Gap: the answer isn't whole.
func (c *Checker) End(attempt, customer string, seq, lengthBytes uint64) Verdict {
	if v := c.peek(attempt, customer, seq); v != Accept {
		return v
	}
	if lengthBytes != c.length {
		return Gap
	}
	c.next++
	c.ended = true
	return Accept
}

func (c *Checker) peek(attempt, customer string, seq uint64) Verdict {
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
