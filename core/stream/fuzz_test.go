package stream

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzChecker guards against sequences of frames, with duplicates, gaps and foreign
// frames, after which the accepted text differs from the attempt's. Each input byte
// is a frame: the low 5 bits are its sequence number, the high 3 bits its fault.
func FuzzChecker(f *testing.F) {
	for _, seed := range [][]byte{{}, {0, 1, 2, 3}, {0, 0, 1, 3, 2, 3}, {0x20, 0x40, 0, 1, 0x82, 2}, {0, 1, 2, 0x83}, {0, 1, 2, 0xa3, 3}, {0, 1, 0x62, 2, 3, 4}} {
		f.Add(seed)
	}
	const last = 3
	text := []string{"", "levy", " paid"} // text of frames 0 to 2; frame 3 is the end frame
	f.Fuzz(func(t *testing.T, frames []byte) {
		c := NewChecker("a1", "kutch")
		got, whole := "", false
		for _, b := range frames {
			seq, fault := uint64(b&0x1f), b>>5
			attempt, customer, length := "a1", "kutch", uint64(9)
			switch fault {
			case 1:
				attempt = "a2"
			case 2:
				customer = "rann"
			case 4:
				length = 8
			}
			if seq >= last {
				v := c.End(attempt, customer, seq, length)
				require.False(t, v == Accept && (fault == 1 || fault == 2 || fault == 4 || whole || seq != last))
				whole = whole || v == Accept
				continue
			}
			v := c.Frame(attempt, customer, seq, len(text[seq]))
			if v == Accept {
				require.False(t, fault == 1 || fault == 2 || whole)
				got += text[seq]
			}
		}
		require.Equal(t, "levy paid"[:len(got)], got)
		require.Equal(t, whole, c.Complete())
		require.EqualValues(t, len(got), c.Length())
		require.False(t, whole && got != "levy paid")
	})
}
