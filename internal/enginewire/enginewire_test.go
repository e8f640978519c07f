package enginewire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// Any input parses as an answer within the limits or gives an error, and the result does not depend on the
// pieces in which the input is read.
func FuzzPeek(f *testing.F) {
	f.Add([]byte("9b1f03aa5c7e2d41 ACK parts=2,report=inflight:7;util:0.61 6\r\na\tb\tc\n\r\n"))
	f.Add([]byte("c EVENT remark=progress,value=0.5 0\r\n\r\n"))
	f.Add([]byte("c BLOCK part_no=1 x\r\n"))
	f.Add([]byte("c EIO - 99999999999\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		const line, body = 64, 32
		whole := bufio.NewReaderSize(bytes.NewReader(in), line+body+2)
		pieces := bufio.NewReaderSize(iotest.OneByteReader(bytes.NewReader(in)), line+body+2)
		for {
			a, size, err := PeekAnswer(whole, line, body)
			b, size2, err2 := PeekAnswer(pieces, line, body)
			if (err == nil) != (err2 == nil) || err == nil && (size != size2 || !bytes.Equal(a.Body, b.Body)) {
				t.Fatalf("read at once: %+v, error %v; read in pieces: %+v, error %v; want the same", a, err, b, err2)
			}
			if err != nil {
				if !errors.Is(err, ErrMalformed) && !errors.Is(err, io.EOF) {
					t.Fatal(err)
				}
				return
			}
			if len(a.Body) > body || len(a.ID) == 0 || size > whole.Buffered() {
				t.Fatalf("answer %+v of %d bytes exceeds a limit or has no id", a, size)
			}
			ParseLoadReport(a.LoadReport, func(string, float64) {})
			WholeRows(a.Body)
			whole.Discard(size)
			pieces.Discard(size)
		}
	})
}
