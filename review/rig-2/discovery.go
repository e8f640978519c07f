//go:build review2

package main

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// States of an engine in the list.
const (
	ready = iota
	draining
	gone
)

// listed is an entry of the endpoint list.
type listed struct {
	e     *engine
	state byte
	born  uint64 // ms since 1970; 0: long ago
}

// discovery is a stand-in for the bulletin: numbered events, an empty frame each second.
type discovery struct {
	r       *rig
	zones   []string
	kinds   []string
	address string

	mu       sync.Mutex
	events   [][]listed // the first is the whole list
	listener net.Listener
	conns    map[net.Conn]chan struct{} // a channel that tells of a new event
	refused  int                        // connections while it was down
}

func (r *rig) startDiscovery(zones, kinds []string, first []listed) *discovery {
	d := &discovery{r: r, zones: zones, kinds: kinds, events: [][]listed{first}, address: r.freeAddress(),
		conns: map[net.Conn]chan struct{}{}}
	d.up()
	r.atEnd(d.down)
	return d
}

// known returns the events so far as the configuration holds them.
func (d *discovery) known() any {
	states := []string{"active", "leaving", "left"}
	items := []any{}
	for i, event := range d.events {
		hosts := []any{}
		for _, l := range event {
			hosts = append(hosts, map[string]any{"host": l.e.name, "dial": l.e.address, "site": d.zones[l.e.zone],
				"class": d.kinds[l.e.kind], "block": 1, "health": states[l.state], "share": 1, "born_ms": l.born})
		}
		items = append(items, map[string]any{"no": i + 1,
			"roster": map[string]any{"seq": i + 1, "whole": i == 0, "hosts": hosts}})
	}
	return map[string]any{"no": len(d.events), "items": items}
}

// tell adds an event with changed entries, and returns when.
func (d *discovery) tell(changes ...listed) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, changes)
	for _, wake := range d.conns {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	for _, c := range changes {
		d.r.note("discovery event %d: %s state %d", len(d.events), c.e.name, c.state)
	}
	return time.Now()
}

// down closes the listener and all connections.
func (d *discovery) down() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
		d.listener = nil
	}
	for c := range d.conns {
		c.Close()
	}
	d.r.note("discovery is down")
}

// up listens at the address.
func (d *discovery) up() {
	l, err := net.Listen("tcp", d.address)
	d.r.must(err)
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	d.r.note("discovery is up")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
}

func (d *discovery) serve(c net.Conn) {
	wake := make(chan struct{}, 1)
	d.mu.Lock()
	d.conns[c] = wake
	d.mu.Unlock()
	defer func() {
		c.Close()
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.conns, c)
	}()
	var from [8]byte
	if _, err := io.ReadFull(c, from[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(from[:])
	for {
		d.mu.Lock()
		events := d.events
		d.mu.Unlock()
		var out []byte
		for ; last < uint64(len(events)); last++ {
			out = append(out, frame(last+1, events[last], last == 0)...)
		}
		if out == nil {
			out = binary.BigEndian.AppendUint32(nil, 9)
			out = append(binary.BigEndian.AppendUint64(out, last), 0)
		}
		if _, err := c.Write(out); err != nil {
			return
		}
		select {
		case <-wake:
		case <-time.After(time.Second):
		}
	}
}

// frame returns the frame of an event.
func frame(number uint64, event []listed, whole bool) []byte {
	kind := byte(2)
	if whole {
		kind = 1
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(event)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	for _, l := range event {
		host, port, _ := net.SplitHostPort(l.e.address)
		n, _ := strconv.Atoi(port)
		b = binary.BigEndian.AppendUint32(b, l.e.number)
		b = append(b, net.ParseIP(host).To4()...)
		b = binary.BigEndian.AppendUint16(b, uint16(n))
		b = append(b, l.state, byte(l.e.zone), byte(l.e.kind))
		b = binary.BigEndian.AppendUint16(b, 1)
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, l.born)
	}
	return b
}
