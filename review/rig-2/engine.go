//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is an attempt that came whole to an engine.
type arrival struct {
	at        time.Time
	engine    string
	id        string
	profile   string
	statement string
	replay    string // the idempotency key
	dropped   bool   // the engines know its key, so it has no effect
	outcome   string // ACK, AGAIN, EIO, or "given up"; empty while it runs
	endedAt   time.Time
}

// fleet is all engines of a run and what came to them, in order.
type fleet struct {
	r      *rig
	mu     sync.Mutex
	came   []*arrival
	notes  time.Duration // between two notes of progress; 0: none
	report bool
	// Engines drop repeats of a key for this long after it first came to one of them; 0: they don't.
	remember time.Duration
	keys     map[string]time.Time
	// times says how many times as long as usual a send takes by its plan; nil: once.
	times func(a *arrival) float64
}

// engine is a stand-in for an engine, which runs all attempts side by side, each for the time that
// its statement names as WORK(ms).
type engine struct {
	f        *fleet
	number   uint32
	name     string
	address  string
	zone     int
	kind     int
	listener net.Listener

	mu       sync.Mutex
	draining bool
	inflight int
	conns    map[net.Conn]bool
	slow     func(now time.Time) float64 // factor of the usual run time; nil: 1
}

func (f *fleet) start(number uint32, kind int) *engine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.r.must(err)
	e := &engine{f: f, number: number, name: fmt.Sprintf("s-%08x", number), kind: kind,
		address: l.Addr().String(), listener: l, conns: map[net.Conn]bool{}}
	f.r.atEnd(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

// setDraining has the engine turn new attempts away, as one that drains does.
func (e *engine) setDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

func between(text, from, to string) string {
	_, rest, _ := strings.Cut(text, from)
	part, _, _ := strings.Cut(rest, to)
	return part
}

// link is a controller's connection to an engine, with the attempts that are open on it.
type link struct {
	e    *engine
	conn net.Conn
	mu   sync.Mutex
	open map[string]*arrival
}

// serve reads lines until the connection ends, which gives up all that is open on it.
func (e *engine) serve(c net.Conn) {
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	l := &link{e: e, conn: c, open: map[string]*arrival{}}
	defer l.close()
	reader := bufio.NewReader(c)
	for {
		line, err := reader.ReadString('\n')
		words := strings.Fields(line)
		if err != nil || len(words) < 2 {
			return
		}
		switch words[0] {
		case "ping":
			l.write(words[1] + " READY " + e.load("") + " 0\r\n\r\n")
		case "undo":
			l.mu.Lock()
			a := l.open[words[1]]
			l.mu.Unlock()
			if a != nil {
				l.end(a, "given up")
			}
		case "do":
			length, err := strconv.Atoi(words[len(words)-1])
			if err != nil || len(words) != 4 {
				return
			}
			statement := make([]byte, length+2)
			if _, err := io.ReadFull(reader, statement); err != nil {
				return
			}
			l.begin(words[1], words[2], string(statement[:length]))
		}
	}
}

// close gives up all that is open.
func (l *link) close() {
	l.conn.Close()
	l.mu.Lock()
	left := l.open
	l.open = map[string]*arrival{}
	l.mu.Unlock()
	for _, a := range left {
		l.e.finish(a, "given up")
	}
	l.e.mu.Lock()
	defer l.e.mu.Unlock()
	delete(l.e.conns, l.conn)
}

func (l *link) write(text string) { l.conn.Write([]byte(text)) }

// isOpen reports whether an attempt has not ended.
func (l *link) isOpen(a *arrival) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open[a.id] == a
}

// end ends an attempt, unless it has ended, and reports whether it did.
func (l *link) end(a *arrival, outcome string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open[a.id] != a {
		return false
	}
	delete(l.open, a.id)
	l.e.finish(a, outcome)
	return true
}

// begin begins an attempt: it is turned away, answered at once, or runs.
func (l *link) begin(id, fields, statement string) {
	e := l.e
	a := &arrival{at: time.Now(), engine: e.name, id: id, statement: statement}
	a.profile = between(","+fields+",", ",profile=", ",")
	a.replay = between(","+fields+",", ",replay=", ",")
	e.f.add(a)
	l.mu.Lock()
	l.open[a.id] = a
	l.mu.Unlock()
	e.mu.Lock()
	e.inflight++
	draining := e.draining
	e.mu.Unlock()
	switch {
	case draining:
		if l.end(a, "AGAIN") {
			l.write(a.id + " AGAIN " + e.load("") + " 0\r\n\r\n")
		}
	case a.dropped:
		l.answer(a)
	default:
		go l.run(a)
	}
}

// answer ends an attempt with a result of one row.
func (l *link) answer(a *arrival) {
	if l.end(a, "ACK") {
		l.write(a.id + " ACK " + l.e.load("parts=1") + " 6\r\na\tb\tc\n\r\n")
	}
}

// die has the process of the engine end, which resets its connections.
func (e *engine) die() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	e.f.r.note("engine %s dies", e.name)
}

// slowness returns how many times as long as usual the engine's work takes now.
func (e *engine) slowness() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slow == nil {
		return 1
	}
	return e.slow(time.Now())
}

// run answers an attempt after its work, and tells how far it is on the way.
func (l *link) run(a *arrival) {
	e := l.e
	work, err := strconv.ParseFloat(between(a.statement, "WORK(", ")"), 64)
	if err != nil {
		work = 1
	}
	if e.f.times != nil {
		work *= e.f.times(a)
	}
	const step = 10 * time.Millisecond
	last, noted := time.Now(), time.Now()
	for done := 0.0; done < work; {
		left := time.Duration((work - done) * e.slowness() * float64(time.Millisecond))
		time.Sleep(min(step, left))
		now := time.Now()
		done += float64(now.Sub(last)) / float64(time.Millisecond) / e.slowness()
		last = now
		if !l.isOpen(a) {
			return
		}
		if e.f.notes > 0 && now.Sub(noted) >= e.f.notes && done < work {
			noted = now
			l.write(fmt.Sprintf("%s EVENT remark=progress,value=%.3f 0\r\n\r\n", a.id, done/work))
		}
	}
	l.answer(a)
}

// load returns the fields of an answer with a load report where the settings say so.
func (e *engine) load(fields string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.f.report {
		if fields != "" {
			fields += ","
		}
		fields += fmt.Sprintf("report=inflight:%d;util:%.2f", e.inflight, min(1, float64(e.inflight)/12))
	}
	if fields == "" {
		return "-"
	}
	return fields
}

func (e *engine) finish(a *arrival, outcome string) {
	e.mu.Lock()
	e.inflight--
	e.mu.Unlock()
	e.f.mu.Lock()
	a.outcome, a.endedAt = outcome, time.Now()
	e.f.mu.Unlock()
	e.f.r.note("engine %s ends %s: %s", a.engine, a.id, outcome)
}

func (f *fleet) add(a *arrival) {
	f.mu.Lock()
	f.came = append(f.came, a)
	if a.replay != "" && f.remember > 0 {
		first, known := f.keys[a.replay]
		a.dropped = known && a.at.Sub(first) < f.remember
		if !known || !a.dropped {
			f.keys[a.replay] = a.at
		}
	}
	f.mu.Unlock()
	f.r.note("engine %s gets %s %s (dropped as a repeat: %v): %.90s", a.engine, a.profile, a.id, a.dropped, a.statement)
}

// arrivals returns copies of the attempts that have come so far.
func (f *fleet) arrivals() (list []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.came {
		list = append(list, *a)
	}
	return list
}
