package standin

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// Ask judges a command by the pages' rule: its answer counts until half a second past its limit, from when it was written
// behind the start-up message; a connection that ends without it, or says nothing until then, loses the command.
func TestAsk(t *testing.T) {
	const ready, complete, shed = "Z\x00\x00\x00\x05I", "C\x00\x00\x00\x0dSELECT 1\x00", "E\x00\x00\x00\x0cC53000\x00\x00"
	for _, c := range []struct {
		name, reply string
		hangs       bool
		limit       time.Duration
		want        Verdict
	}{
		{"answered", ready + complete + ready, false, time.Second, Answered},
		{"shed", ready + shed + ready, false, time.Second, Shed},
		{"no answer, and the end", ready, false, time.Second, Lost},
		{"no answer", ready, true, 50*time.Millisecond - answerSlack, Lost},
		{"no session", "", true, 50*time.Millisecond - answerSlack, Lost},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		asked := make(chan bool)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			conn.Write([]byte(c.reply))
			if c.hangs {
				<-asked
			}
		}()
		got, err := Ask(context.Background(), listener.Addr().String(), "verb=lookup", "SELECT 1", c.limit)
		close(asked)
		listener.Close()
		if got != c.want || (err != nil) != (c.want == Lost) || c.hangs && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got %v, %v", c.name, got, err)
		}
	}
}
