//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// bulletin is a stand-in for the bulletin: it tells the events after the one that a controller names, and an empty frame
// each second.
type bulletin struct {
	addr     string
	listener net.Listener

	mu      sync.Mutex
	number  uint64
	frames  map[uint64][]byte
	changed chan struct{} // closed at the next event
	conns   map[net.Conn]bool
}

// States of an executor in a record.
const (
	stateReady = iota
	stateDraining
	stateGone
)

func newBulletin() *bulletin {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	b := &bulletin{addr: l.Addr().String(), listener: l, number: 1, frames: map[uint64][]byte{},
		changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
	return b
}

func (b *bulletin) stop() {
	b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

// tell adds an event that changes the state of an executor.
func (b *bulletin) tell(e *engine, state byte) { b.tellStarted(e, state, 0) }

// tellStarted is tell with the Unix millisecond of a late start.
func (b *bulletin) tellStarted(e *engine, state byte, started uint64) {
	tcp := e.listener.Addr().(*net.TCPAddr)
	r := binary.BigEndian.AppendUint32(nil, e.id)
	r = append(r, tcp.IP.To4()...)
	r = binary.BigEndian.AppendUint16(r, uint16(tcp.Port))
	r = append(r, state, byte(e.zone), byte(e.kind))
	r = binary.BigEndian.AppendUint16(r, 1)
	r = binary.BigEndian.AppendUint32(r, 1000)
	r = binary.BigEndian.AppendUint64(r, started)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	b.frames[b.number] = frame(b.number, 2, r)
	close(b.changed)
	b.changed = make(chan struct{})
}

func frame(number uint64, kind byte, payload []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	f = append(binary.BigEndian.AppendUint64(f, number), kind)
	return append(f, payload...)
}

func (b *bulletin) serve(c net.Conn) {
	defer c.Close()
	head := make([]byte, 8)
	if _, err := io.ReadFull(bufio.NewReader(c), head); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(head)
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	out := []byte(nil)
	for {
		b.mu.Lock()
		changed := b.changed
		for ; last < b.number; last++ {
			out = append(out, b.frames[last+1]...)
		}
		b.mu.Unlock()
		if len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return
			}
			out = out[:0]
		}
		select {
		case <-changed:
		case <-beat.C:
			out = frame(last, 0, nil)
		}
	}
}
