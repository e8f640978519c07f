package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// engineConn is a connection to an engine, on which a test sends single lines of the protocol.
type engineConn struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dialEngine(t *testing.T, e *Engine) *engineConn {
	conn, err := net.Dial("tcp", e.Addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &engineConn{t, conn, bufio.NewReader(conn)}
}

func (s *engineConn) do(id string, work float64, group int) {
	statement := fmt.Sprintf("SELECT WORK(%g) FROM sales_%d.orders", work, group)
	fmt.Fprintf(s, "do %s profile=lookup,max=1000 %d\r\n%s\r\n", id, len(statement), statement)
}

// receive returns the ID and the status of the next answer.
func (s *engineConn) receive() string {
	s.t.Helper()
	line, err := s.r.ReadString('\n')
	if err != nil {
		s.t.Fatal(err)
	}
	words := strings.Fields(line)
	var n int
	fmt.Sscan(words[len(words)-1], &n)
	if _, err := io.CopyN(io.Discard, s.r, int64(n)+2); err != nil {
		s.t.Fatal(err)
	}
	return words[0] + " " + words[1]
}

// An engine answers shorter commands first, rejects commands beyond its sessions, forgets cancelled ones, and keeps the last
// used table group warm.
func TestEngine(t *testing.T) {
	e, err := NewEngine("e", Model{Cores: 2, Slow: 1, Sessions: 2, Warm: 1, ColdCost: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	s := dialEngine(t, e)
	s.do("a", 60000, 1)
	s.do("b", 5, 2)
	s.do("c", 5, 2)
	if got := s.receive(); got != "c AGAIN" {
		t.Error(got)
	}
	if got := s.receive(); got != "b ACK" {
		t.Error(got)
	}
	fmt.Fprint(s, "undo a\r\nping x\r\n")
	if got := s.receive(); got != "x READY" {
		t.Error(got)
	}
	s.do("d", 1, 2)
	if got := s.receive(); got != "d ACK" {
		t.Error(got)
	}
	s.do("f", 1, 1)
	if got := s.receive(); got != "f ACK" {
		t.Error(got)
	}
	if done, cold, rejected := e.Counts(); done != 3 || cold != 3 || rejected != 1 {
		t.Errorf("%d done, %d cold, %d rejected; want 3, 3 and 1", done, cold, rejected)
	}
	s.do("g", 60000, 1)
	e.SetSlow(1e-9)
	if got := s.receive(); got != "g ACK" {
		t.Error(got)
	}
}

// The feed sends a heartbeat to a controller that has all events up to the number it names.
func TestFeed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f, err := NewFeed(ctx)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(conn, "\x00\x00\x00\x00\x00\x00\x00\x07")
	frame := make([]byte, 13)
	if _, err := io.ReadFull(conn, frame); err != nil || string(frame) != "\x00\x00\x00\x09\x00\x00\x00\x00\x00\x00\x00\x07\x00" {
		t.Errorf("frame % x, error %v; want a heartbeat with number 7", frame, err)
	}
}
