package standin

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

// What comes and goes is counted by kind, a watcher is told of each attempt, and a mute engine reads on without a word.
func TestTraffic(t *testing.T) {
	e, err := NewEngine("e", Model{Cores: 2, Slow: 1, Sessions: 9, Warm: 9, ColdCost: 1}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	read := make(chan string, 9)
	e.Watch(func(id string) { read <- id })
	s := dialEngine(t, e)
	s.do("a", 1, 1)
	if got := s.receive(); got != "a ACK" {
		t.Error(got)
	}
	fmt.Fprint(s, "ping p\r\n")
	if got := s.receive(); got != "p READY" {
		t.Error(got)
	}
	s.do("b", 60000, 1)
	if first, second := <-read, <-read; first != "a" || second != "b" {
		t.Error(first, second)
	}
	traffic := e.Traffic()
	if traffic.Queries != 2 || traffic.Answers != 1 || traffic.Pings != 1 || traffic.PingBytes != len("ping p\r\n") ||
		traffic.Replies != 1 || traffic.Opened != 1 || traffic.Open != 1 || traffic.ReportBytes == 0 {
		t.Errorf("%+v", traffic)
	}
	if frames, bytes := traffic.Control(); frames != 2 || bytes != traffic.PingBytes+traffic.ReplyBytes {
		t.Errorf("%d frames, %d bytes", frames, bytes)
	}
	if running := e.Hang(); !slices.Equal(running, []string{"b"}) {
		t.Error(running)
	}
	s.do("c", 1, 1)
	fmt.Fprint(s, "ping q\r\n")
	if id := <-read; id != "c" {
		t.Error(id)
	}
	s.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	if _, err := s.r.ReadByte(); err == nil {
		t.Error("a mute engine answers")
	} else if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		t.Error(err)
	}
	if now := e.Traffic().Sub(traffic); now.Queries != 1 || now.Answers != 0 || now.Replies != 0 || now.Open != 1 {
		t.Errorf("%+v", now)
	}
}
