//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in for an executor. A statement gives the time that it takes here as WORK(ms). It runs all that it is
// sent side by side, stops what is given up, and drops repeats by idempotency key.
type engine struct {
	w        *world
	id       uint32
	zone     int // places in the lists of the settings
	kind     int
	name     string // as it stands in text
	addr     string
	listener net.Listener
	idle     time.Duration

	mu     sync.Mutex
	conns  map[net.Conn]bool
	came   []arrival
	behave func() fate  // nil: sound
	deaf   bool         // what is given up goes on
	hang   sync.RWMutex // held while it reads nothing
}

// fate is what becomes of a request.
type fate struct {
	full, errored, lost, reset, twice bool
	resetBefore                       bool // the connection is reset before the request has run
	late                              time.Duration
}

// arrival is a request that has come whole to an executor.
type arrival struct {
	id, class string
	at        time.Time
	hung      bool // it may have come while the executor read nothing
}

func newEngine(w *world, number int, s site) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	e := &engine{w: w, id: uint32(number), zone: number % len(s.zones), kind: number % len(s.kinds), name: fmt.Sprintf("s-%08x", number), addr: l.Addr().String(), listener: l,
		idle: s.idle, conns: map[net.Conn]bool{}}
	go e.accept(l)
	return e
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// again starts an executor again that has been stopped.
func (e *engine) again() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener = l
	e.mu.Unlock()
	go e.accept(l)
	return nil
}

func (e *engine) stop() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// link is a connection to a controller.
type link struct {
	e         *engine
	hungUntil time.Time // when it last read again after it had hung

	mu   sync.Mutex
	conn net.Conn
	runs map[string]*running
}

// running is a request that runs.
type running struct {
	began        time.Time
	takes        time.Duration
	timer, notes *time.Timer
}

func (r *running) stop() {
	r.timer.Stop()
	r.notes.Stop()
}

func (e *engine) serve(c net.Conn) {
	l := &link{e: e, conn: c, runs: map[string]*running{}}
	defer l.end()
	r := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(time.Hour))
		if l.idle() {
			c.SetReadDeadline(time.Now().Add(e.idle))
		}
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		before := time.Now()
		e.hang.RLock()
		e.hang.RUnlock()
		if time.Since(before) > 5*time.Millisecond {
			l.hungUntil = time.Now()
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "ping":
			l.write(words[1] + " READY - 0\r\n\r\n")
		case "undo":
			e.w.note("%s: undo %s", e.name, words[1])
			l.undo(words[1])
		case "do":
			length, err := strconv.Atoi(words[len(words)-1])
			if err != nil || length < 0 || length > 1<<20 || len(words) != 4 {
				return
			}
			statement := make([]byte, length+2)
			if _, err := io.ReadFull(r, statement); err != nil {
				return
			}
			l.do(words[1], words[2], string(statement[:length]))
		case "page":
			l.page(words[1], words[len(words)-1])
		}
	}
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs) == 0
}

func (l *link) write(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.Write([]byte(text))
}

func (l *link) undo(id string) {
	if l.e.deaf {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.runs[id]; r != nil {
		r.stop()
		delete(l.runs, id)
	}
}

func (l *link) end() {
	l.conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.runs {
		r.stop()
		delete(l.runs, id)
	}
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	delete(l.e.conns, l.conn)
}

// do begins a request.
func (l *link) do(id, fields, statement string) {
	e := l.e
	class := field(fields, "profile")
	work, err := strconv.ParseFloat(between(statement, "WORK(", ")"), 64)
	if err != nil {
		work = 1
	}
	f := fate{}
	if e.behave != nil {
		f = e.behave()
	}
	if f.full {
		e.w.note("%s: do %s %s, full", e.name, id, fields)
		l.write(id + " AGAIN - 0\r\n\r\n")
		return
	}
	repeat := false
	if key := field(fields, "replay"); key != "" {
		e.w.keysMu.Lock()
		repeat = e.w.keys[key]
		e.w.keys[key] = true
		e.w.keysMu.Unlock()
	}
	how := ""
	if e.behave != nil {
		how = fmt.Sprintf(", repeat %v, %+v", repeat, f)
	}
	e.w.note("%s: do %s %s, runs %.0f ms%s", e.name, id, fields, work, how)
	e.mu.Lock()
	e.came = append(e.came, arrival{id, class, time.Now(), time.Since(l.hungUntil) < 50*time.Millisecond})
	e.mu.Unlock()
	if f.resetBefore {
		l.reset()
		return
	}
	r := &running{began: time.Now(), takes: time.Duration(work * 1e6)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = r
	r.timer = time.AfterFunc(r.takes, func() { l.done(id, f) })
	r.notes = time.AfterFunc(notePace, func() { l.progress(id) })
}

// notePace is the time between two notes.
const notePace = 500 * time.Millisecond

// progress writes a note of how far a request is.
func (l *link) progress(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[id]
	if r == nil || l.e.deaf {
		return
	}
	fmt.Fprintf(l.conn, "%s EVENT remark=progress,value=%.3f 0\r\n\r\n", id, min(0.99, float64(time.Since(r.began))/float64(r.takes)))
	r.notes.Reset(notePace)
}

// done ends a request and answers it.
func (l *link) done(id string, f fate) {
	time.Sleep(f.late)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id] == nil {
		return
	}
	l.runs[id].notes.Stop()
	delete(l.runs, id)
	l.e.w.note("%s: %s is done", l.e.name, id)
	pages := resultPages(id)
	body := pages[0]
	if l.e.behave == nil {
		pages = pages[:1]
	}
	switch {
	case f.lost:
	case f.reset:
		l.conn.(*net.TCPConn).SetLinger(0)
		l.conn.Close()
	case f.errored:
		fmt.Fprintf(l.conn, "%s EIO - 0\r\n\r\n", id)
	default:
		text := fmt.Sprintf("%s ACK parts=%d,report=%s %d\r\n%s\r\n", id, len(pages), l.report(), len(body), body)
		l.conn.Write([]byte(text))
		if f.twice {
			l.conn.Write([]byte(text))
		}
	}
}

// resultPages returns the pages of a request's result.
func resultPages(id string) (pages []string) {
	for n := range 1 + int(id[0])%4 {
		page := ""
		for row := range 3 {
			page += fmt.Sprintf("%s\t%d\t%d\n", id, n, row)
		}
		pages = append(pages, page)
	}
	return pages
}

// page answers with a further page, after a while, maybe twice or never.
func (l *link) page(id, number string) {
	n, _ := strconv.Atoi(number)
	pages := resultPages(id)
	if l.e.behave == nil || n >= len(pages) {
		l.write(id + " EIO - 0\r\n\r\n")
		return
	}
	f := l.e.behave()
	text := fmt.Sprintf("%s BLOCK part_no=%d %d\r\n%s\r\n", id, n, len(pages[n]), pages[n])
	time.AfterFunc(time.Duration(rand.Intn(30))*time.Millisecond, func() {
		switch {
		case f.lost:
			return
		case f.errored:
			text = id + " EIO - 0\r\n\r\n"
		case f.twice:
			text += text
		}
		l.write(text)
	})
}

// report returns the load report, with the fields that the settings name.
func (l *link) report() string {
	if l.e.w.site.inflight {
		return fmt.Sprintf("util:0.10;inflight:%d", len(l.runs))
	}
	return "util:0.10"
}

func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.(*net.TCPConn).SetLinger(0)
	l.conn.Close()
}

// firsts returns when each request came first to an executor.
func (w *world) firsts() map[string]arrival {
	all := map[string]arrival{}
	for _, e := range w.engines {
		e.mu.Lock()
		for _, a := range e.came {
			if b, found := all[a.id]; !found || a.at.Before(b.at) {
				all[a.id] = a
			}
		}
		e.mu.Unlock()
	}
	return all
}

// field returns a value of a list of fields.
func field(fields, name string) string {
	for _, f := range strings.Split(fields, ",") {
		if value, found := strings.CutPrefix(f, name+"="); found {
			return value
		}
	}
	return ""
}

// between returns the text between two markers, or an empty text.
func between(text, from, to string) string {
	_, rest, ok := strings.Cut(text, from)
	part, _, closed := strings.Cut(rest, to)
	if !ok || !closed {
		return ""
	}
	return part
}
