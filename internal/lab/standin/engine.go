// Package standin has stand-ins for the peers of a controller: engines, the feed and clients, which implement the platform's
// protocols on loopback sockets. They serve measurements and tests; nothing of the daemon imports them.
package standin

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Model is the performance model of an engine: its commands share its cores equally. Work is in ms on one core.
type Model struct {
	Cores    float64
	Slow     float64 // factor of the usual duration
	Sessions int     // commands that run at most; it rejects more
	Warm     int     // number of the last used table groups that it keeps warm
	ColdCost float64 // factor of the work of a command whose table group is not warm
}

// Engine is a stand-in for an engine. A command's statement gives its work as WORK(ms), and its table group as the schema.
type Engine struct {
	ID       string
	Addr     string
	listener net.Listener
	rng      *rand.Rand

	mu          sync.Mutex
	model       Model
	runs        []*run
	advancedAt  time.Time // up to when the runs have advanced
	utilization float64   // smoothed share of its cores in use
	warm        []string
	timer       *time.Timer
	conns       map[net.Conn]bool
	closed      bool

	Done, Cold, Rejected int // commands

	outOfService bool // it is under maintenance and must get no commands
	Unexpected   int  // commands that came while it was out of service

	traffic   Traffic
	onAttempt func(id string) // called with each attempt; may be nil
	hung      bool            // it answers nothing
}

// SetOutOfService sets whether the engine is under maintenance and must get no commands. It returns how many commands have
// come so far while it was.
func (e *Engine) SetOutOfService(outOfService bool) (unexpected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outOfService = outOfService
	return e.Unexpected
}

// run is an attempt that runs.
type run struct {
	id        string
	remaining float64 // work in ms on one core
	slow      float64
	reply     func(line string)
}

// NewEngine starts an engine on a loopback address.
func NewEngine(id string, m Model, seed int64) (*Engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Engine{ID: id, Addr: listener.Addr().String(), listener: listener, model: m, advancedAt: time.Now(),
		rng: rand.New(rand.NewSource(seed)), conns: map[net.Conn]bool{}}
	e.timer = time.AfterFunc(time.Hour, e.finishRuns)
	go e.accept()
	return e, nil
}

// Close ends the engine and closes all its connections.
func (e *Engine) Close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.timer.Stop()
	for c := range e.conns {
		c.Close()
	}
}

// SetSlow changes Model.Slow from now on, also for the attempts that run.
func (e *Engine) SetSlow(slow float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.model.Slow = slow
	for _, r := range e.runs {
		r.slow = slow
	}
	e.resetTimer()
}

func (e *Engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.closed {
			c.Close()
		}
		e.conns[c] = true
		e.traffic.Opened++
		e.traffic.MostOpen = max(e.traffic.MostOpen, len(e.conns))
		e.mu.Unlock()
		go e.serve(c)
	}
}

// idleTimeout is how long a connection may be idle before the engine closes it.
const idleTimeout = 30 * time.Second

func (e *Engine) serve(c net.Conn) {
	var writing sync.Mutex
	reply := func(line string) {
		if !e.countAnswer(strings.Contains(line, " READY "), len(line), len(between(line, "report=", " "))) {
			return
		}
		writing.Lock()
		defer writing.Unlock()
		c.SetWriteDeadline(time.Now().Add(time.Second))
		c.Write([]byte(line))
	}
	defer func() {
		c.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, c)
	}()
	for r := bufio.NewReaderSize(c, 64<<10); ; {
		c.SetReadDeadline(time.Now().Add(idleTimeout))
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "ping":
			e.countReceived(words[0], len(line))
			reply(fmt.Sprintf("%s READY %s 0\r\n\r\n", words[1], e.loadReport()))
		case "undo":
			e.countReceived(words[0], len(line))
			e.cancel(words[1])
		case "do":
			length, err := strconv.Atoi(words[len(words)-1])
			if err != nil || length < 0 || length > 1<<20 {
				return
			}
			statement := make([]byte, length+2)
			if _, err := io.ReadFull(r, statement); err != nil {
				return
			}
			e.countReceived(words[0], len(line)+len(statement))
			e.startAttempt(words[1], string(statement), reply)
		default:
			e.countReceived(words[0], len(line))
		}
	}
}

// between returns the text between two markers, or an empty text if one is missing.
func between(text, from, to string) string {
	_, rest, ok := strings.Cut(text, from)
	part, _, closed := strings.Cut(rest, to)
	if !ok || !closed {
		return ""
	}
	return part
}

func (e *Engine) startAttempt(id, statement string, reply func(string)) {
	work, err := strconv.ParseFloat(between(statement, "WORK(", ")"), 64)
	if err != nil {
		reply(id + " EIO - 0\r\n\r\n")
		return
	}
	group := between(statement, "FROM ", ".")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.advance(); e.outOfService {
		e.Unexpected++
	}
	if e.onAttempt != nil {
		e.onAttempt(id)
	}
	if len(e.runs) >= e.model.Sessions {
		e.Rejected++
		go reply(id + " AGAIN " + e.loadReportLocked() + " 0\r\n\r\n")
		return
	}
	if at := slices.Index(e.warm, group); at >= 0 {
		e.warm = append(slices.Delete(e.warm, at, at+1), group)
	} else {
		e.Cold++
		work *= e.model.ColdCost
		if e.warm = append(e.warm, group); len(e.warm) > e.model.Warm {
			e.warm = e.warm[1:]
		}
	}
	e.runs = append(e.runs, &run{id: id, remaining: work, slow: e.model.Slow, reply: reply})
	e.resetTimer()
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return r.id == id })
	e.resetTimer()
}

// runRate returns the work that each run does in a ms, at Model.Slow 1; mu is held.
func (e *Engine) runRate() float64 { return min(1, e.model.Cores/float64(max(1, len(e.runs)))) }

// advance reduces the remaining work of the runs, and updates the utilization, for the time since advancedAt; mu is held.
func (e *Engine) advance() {
	now := time.Now()
	passed := float64(now.Sub(e.advancedAt)) / 1e6
	e.advancedAt = now
	rate := e.runRate()
	for _, r := range e.runs {
		r.remaining -= passed * rate / r.slow
	}
	share := min(1, float64(len(e.runs))/e.model.Cores)
	keep := math.Exp(-passed / 300)
	e.utilization = e.utilization*keep + share*(1-keep)
}

// resetTimer sets the timer to the end of the run that ends next; mu is held.
func (e *Engine) resetTimer() {
	next := math.Inf(1)
	for _, r := range e.runs {
		next = min(next, r.remaining*r.slow)
	}
	if next = next / e.runRate(); math.IsInf(next, 1) {
		next = 3600e3
	}
	e.timer.Reset(time.Duration(max(0, next) * 1e6))
}

// finishRuns ends and answers the runs whose work is done.
func (e *Engine) finishRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return
	}
	e.advance()
	report := e.loadReportLocked()
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		if r.remaining > 0.01 {
			return false
		}
		e.Done++
		go r.reply(fmt.Sprintf("%s ACK parts=1,%s 6\r\na\tb\tc\n\r\n", r.id, strings.TrimPrefix(report, "-")))
		return true
	})
	e.resetTimer()
}

// loadReportLocked returns the load report as it is in an answer; mu is held.
func (e *Engine) loadReportLocked() string {
	return fmt.Sprintf("report=inflight:%d;util:%.3f", len(e.runs), e.utilization)
}

func (e *Engine) loadReport() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	return e.loadReportLocked()
}

// Counts returns the numbers of commands that were done, that found their tables cold, and that were rejected.
func (e *Engine) Counts() (done, cold, rejected int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Done, e.Cold, e.Rejected
}

// Feed is a stand-in for the feed of discovery: it sends changes of the endpoint list, and a heartbeat after 500 ms without one.
type Feed struct {
	Addr     string
	listener net.Listener

	mu      sync.Mutex
	number  uint64 // number of the last event
	events  []listEvent
	changed chan struct{} // closed at the next event
}

type listEvent struct {
	number  uint64
	payload []byte
}

// NewFeed starts a feed on a loopback address. Its events begin at number 2: controllers have event 1 in their settings.
func NewFeed(ctx context.Context) (*Feed, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { listener.Close() })
	f := &Feed{Addr: listener.Addr().String(), listener: listener, number: 1, changed: make(chan struct{})}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(ctx, c)
		}
	}()
	return f, nil
}

// ListState is the state of an engine in the endpoint list.
type ListState byte

// The states of an engine in the endpoint list.
const (
	Ready ListState = iota
	Draining
	Gone
)

// Publish sends an event with an engine's number, its address, its state and the start of its process, in ms since 1970
// (0: long ago).
func (f *Feed) Publish(id uint32, addr string, state ListState, started uint64) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	n, err := strconv.ParseUint(port, 10, 16)
	ip := net.ParseIP(host).To4()
	if err != nil || ip == nil {
		return fmt.Errorf("%q is not an IPv4 address with a port", addr)
	}
	b := binary.BigEndian.AppendUint32(nil, id)
	b = binary.BigEndian.AppendUint16(append(b, ip...), uint16(n))
	b = append(b, byte(state), 0, 0) // zone and kind: the first of the settings
	b = binary.BigEndian.AppendUint16(b, 0)
	b = binary.BigEndian.AppendUint32(b, 1000)
	b = binary.BigEndian.AppendUint64(b, started)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number++
	f.events = append(f.events, listEvent{f.number, b})
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

func (f *Feed) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	head := make([]byte, 8)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(bufio.NewReader(c), head); err != nil {
		return
	}
	for last := binary.BigEndian.Uint64(head); ; {
		f.mu.Lock()
		changed, number := f.changed, f.number
		var frames []byte
		for _, e := range f.events {
			if e.number > last {
				frames = binary.BigEndian.AppendUint32(frames, uint32(9+len(e.payload)))
				frames = append(binary.BigEndian.AppendUint64(frames, e.number), 2)
				frames = append(frames, e.payload...)
				last = e.number
			}
		}
		f.mu.Unlock()
		if frames == nil {
			frames = append(binary.BigEndian.AppendUint64([]byte{0, 0, 0, 9}, max(last, number)), 0)
		}
		c.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := c.Write(frames); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		}
	}
}
