package engines

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/enginewire"
	"mintkeel/internal/request"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// send is one send on its connection.
type send struct {
	cmd       *request.Query
	number    router.AttemptID
	at, until time.Time
	begin     time.Time // after which it must not be written; zero: none
	written   bool      // its last byte may have gone out
	undone    bool      // given up, but the engine may not know yet
	ran       bool      // the engine has told that it makes progress
	outcome   router.Outcome
	heardBy   time.Time // when undone: by then the engine had time to hear of it
	pages     [][]byte
	missing   int // pages
	size      int // bytes of the pages
	load      *router.LoadReport
}

// tooLate tells that it must not be written any more: its connection may have come up after its command was answered,
// or left by its client, or past the time by which it was to begin.
func (s *send) tooLate(now time.Time) bool {
	return !s.begin.IsZero() && now.After(s.begin) || s.cmd.Answer().Verdict != request.Unanswered
}

// item is something to be written; send is the one that it starts, if any.
type item struct {
	parts net.Buffers
	send  *send
}

func (it item) size() (n int) {
	for _, part := range it.parts {
		n += len(part)
	}
	return n
}

// conn is one connection. One goroutine runs it, which reads, and is woken from its read to write. All below mu is
// shared with the loop, which never waits for more than mu. Nobody tells the loop anything while holding it.
type conn struct {
	pool   *Pool
	engine router.EngineID
	addr   string
	cancel context.CancelFunc
	ctx    context.Context

	mu     sync.Mutex
	net    net.Conn // nil until it is up
	out    []item
	queued int                  // bytes in out
	sends  map[string]*send     // by command id: all without an outcome
	used   map[string]time.Time // ids that have been on this connection, until their clients have given up
	sweep  int                  // how many of these call for a look at which may go
	pings  map[string]time.Time
	idleAt time.Time // when it was last of use
	heard  time.Time // when the engine last said anything, or came to owe something
	asked  time.Time // when it was first asked since then whether it is still there; zero: it was not
	over   bool

	gone  atomic.Bool  // as over, for the loop, which asks each time
	busy  atomic.Int32 // as the number of sends
	freed sync.Once    // it counts as open no more
}

func newConn(p *Pool, id router.EngineID, addr string) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{pool: p, engine: id, addr: addr, ctx: ctx, cancel: cancel, idleAt: time.Now(),
		sends: map[string]*send{}, used: map[string]time.Time{}, sweep: leastSweep, pings: map[string]time.Time{}}
}

func (c *conn) ended() bool { return c.gone.Load() }

// uncount has it no longer count among those that are open.
func (c *conn) uncount() { c.freed.Do(func() { c.pool.open.Add(-1) }) }

// idleSince tells since when it has been of no use, if it is up and nothing waits for it.
func (c *conn) idleSince() (at time.Time, idle bool) {
	if c.busy.Load() > 0 {
		return at, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleAt, c.usable() && c.net != nil && len(c.sends) == 0 && len(c.pings) == 0 && len(c.out) == 0
}

// yield ends it for another to take its place, unless it has come to be of use.
func (c *conn) yield() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable() || len(c.sends) > 0 {
		return false
	}
	c.cancel()
	wake(c.net)
	c.uncount()
	return true
}

// usable tells that something may be put on the connection, up or being dialled; mu is held.
func (c *conn) usable() bool { return !c.over && c.ctx.Err() == nil }

// load is the number of its sends without an outcome.
func (c *conn) load() int { return int(c.busy.Load()) }

// works tells that the connection is up, as far as is known.
func (c *conn) works() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usable() && c.net != nil
}

// stop ends the connection; what is out on it ends as its state tells.
func (c *conn) stop() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	wake(c.net)
}

// put takes a send on, unless this connection is full, at its end, silent or has had the command before.
func (c *conn) put(s *send, streams int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable() || !c.used[s.cmd.ID].IsZero() || len(c.sends) >= streams ||
		c.queued+len(s.cmd.Statement) > c.pool.limits.QueueBytes {
		return false
	}
	if len(c.used) >= c.sweep {
		now := time.Now()
		maps.DeleteFunc(c.used, func(_ string, until time.Time) bool { return now.After(until) })
		c.sweep = 2*len(c.used) + leastSweep
	}
	if len(c.sends) == 0 {
		c.heard = time.Now()
	}
	c.used[s.cmd.ID], c.sends[s.cmd.ID] = s.cmd.ReadAt.Add(s.cmd.TimeLeft+c.pool.limits.LateTime), s
	within := max(1, time.Until(s.until).Milliseconds()) // no engine can use a time under 1
	head := enginewire.AppendDo(nil, s.cmd.ID, s.cmd.ClassName, within, s.cmd.IdempotencyKey, len(s.cmd.Statement))
	c.busy.Store(int32(len(c.sends)))
	c.write(item{net.Buffers{head, s.cmd.Statement, lineEnd}, s})
	return true
}

const leastSweep = 64

var lineEnd = []byte("\r\n")

// write queues something and wakes the goroutine; mu is held.
func (c *conn) write(it item) {
	c.queued += it.size()
	c.out = append(c.out, it)
	wake(c.net)
}

func (c *conn) say(b []byte) { c.write(item{parts: net.Buffers{b}}) }

func (c *conn) ping(tag string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable() {
		return false
	}
	c.pings[tag] = time.Now().Add(c.pool.limits.GiveUpTime)
	c.ask(nil, tag)
	return true
}

// ask writes a ping behind what else there is; mu is held.
func (c *conn) ask(b []byte, tag string) {
	if c.asked.IsZero() {
		c.asked = time.Now()
	}
	c.say(enginewire.AppendPing(b, tag))
}

// withdraw ends the sends that no byte has left of.
func (c *conn) withdraw(gone bool) {
	c.mu.Lock()
	var ends []Event
	for _, s := range c.sends {
		if !s.written {
			ends = append(ends, c.finish(s, router.Withdrawn))
		}
	}
	if gone && len(c.sends) == 0 {
		c.cancel()
		wake(c.net)
	}
	c.mu.Unlock()
	if len(ends) > 0 { // the loop calls this
		go c.tell(ends)
	}
}

// giveUp gives a send up if it is out here.
func (c *conn) giveUp(cmd *request.Query, number router.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.sends[cmd.ID]; s != nil && s.cmd == cmd && s.number == number {
		c.undo(s, router.Cancelled)
	}
}

// Tags of pings: undoTag begins that which follows an undo, the command's id is the rest; stillTag asks no more than
// whether the connection still works.
const undoTag, stillTag = "u", "k"

// undo tells the engine that a send is given up, and asks to hear that it knows: until then its command may not be
// sent anew, or two sends of it could be out at once. A send that no byte has left of needs neither.
func (c *conn) undo(s *send, outcome router.Outcome) {
	if s.undone {
		return
	}
	s.undone, s.outcome, s.heardBy = true, outcome, time.Now().Add(c.pool.limits.GiveUpTime)
	if !s.written {
		s.outcome, s.heardBy = router.Withdrawn, past
		wake(c.net)
		return
	}
	b := enginewire.AppendUndo(nil, s.cmd.ID)
	if s.pages != nil {
		b = enginewire.AppendForget(b, s.cmd.ID)
	}
	c.ask(b, undoTag+s.cmd.ID)
}

// finish takes a send off and makes its Ended; mu is held.
func (c *conn) finish(s *send, outcome router.Outcome) Event {
	delete(c.sends, s.cmd.ID)
	c.busy.Store(int32(len(c.sends)))
	now := time.Now()
	c.idleAt = now
	if !s.written {
		for i := range c.out {
			if c.out[i].send == s {
				c.out = append(c.out[:i], c.out[i+1:]...)
				break
			}
		}
	}
	end := AttemptEnded{Query: s.cmd, Attempt: s.number, Outcome: outcome, Elapsed: now.Sub(s.at), Load: s.load}
	if outcome == router.Succeeded {
		end.Pages = s.pages
	}
	return end
}

func (c *conn) tell(events []Event) {
	for _, ev := range events {
		c.pool.post(ev)
	}
}

// run dials, then reads until the connection ends.
func (c *conn) run() {
	dialer := net.Dialer{Timeout: c.pool.limits.ConnectTime, KeepAlive: -1}
	up, err := dialer.DialContext(c.ctx, "tcp", c.addr)
	if err != nil {
		c.end(err, router.ConnectFailed)
		return
	}
	c.mu.Lock()
	c.net, c.heard = up, time.Now()
	c.mu.Unlock()
	from, err := newSource(up)
	if err == nil {
		err = c.serve(from)
	}
	up.Close()
	c.end(err, router.ConnectionReset)
}

var (
	errIdle = errors.New("idle")                  // ends a connection that is of no use
	errHalf = errors.New("the rest of an answer") // that did not come
	errMute = errors.New("no answer to a ping")   // and no more use to what else is out on it

	errEnded = errors.New("ended by the engine") // before a send was written
)

func (c *conn) serve(from *source) error {
	l := c.pool.limits
	r := bufio.NewReaderSize(from, l.LineBytes+l.PageBytes+len(lineEnd))
	var half time.Time // since when there is half an answer; zero: there is none
	for c.ctx.Err() == nil {
		now := time.Now()
		batch, ends, err := c.next(now, from, half)
		c.tell(ends)
		if err != nil {
			return err
		}
		if len(batch) > 0 {
			err := c.flush(batch, from, now.Add(l.EngineWrite))
			if err == nil {
				continue
			} else if !errors.Is(err, errEnded) {
				return err
			} // the answers ahead of the end still count
		}
		answer, size, err := enginewire.Peek(r, l.LineBytes, l.PageBytes)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if r.Buffered() > 0 && half.IsZero() {
				half = time.Now()
			}
			continue
		}
		if err != nil {
			return err
		}
		half = time.Time{}
		ends, err = c.take(answer)
		c.tell(ends)
		if err != nil {
			return err
		}
		r.Discard(size)
	}
	return c.ctx.Err()
}

// flush writes a batch. A send whose last byte was not taken never ran, as an engine runs what has come whole; so none
// is written where the engine has ended the connection already, as it may end an idle one at any moment.
func (c *conn) flush(batch []item, to *source, by time.Time) error {
	var parts net.Buffers
	sends := false
	for _, it := range batch {
		parts, sends = append(parts, it.parts...), sends || it.send != nil
	}
	var taken int64
	var err error
	if sends && to.look() != nil {
		err = errEnded
	} else {
		to.SetWriteDeadline(by)
		taken, err = parts.WriteTo(to.Conn)
	}
	if err == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, it := range batch {
		if taken -= int64(it.size()); taken < 0 && it.send != nil {
			it.send.written = false
		}
	}
	return err
}

// next ends what has had its time and returns what is to be written or, if that is nothing, lets the next read wait
// until something else is due.
func (c *conn) next(now time.Time, up net.Conn, half time.Time) (batch []item, ends []Event, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.pool.limits
	due := c.idleAt.Add(l.EngineIdle)
	if len(c.sends)+len(c.pings)+len(c.out) > 0 {
		due = now.Add(time.Minute)
	} else if now.After(due) {
		c.over = true // so that nothing is put on it any more
		c.gone.Store(true)
		return nil, nil, errIdle
	}
	by := func(at time.Time) (passed bool) {
		if passed = !now.Before(at); !passed && at.Before(due) {
			due = at
		}
		return passed
	}
	if !half.IsZero() && by(half.Add(l.RestTime)) {
		return nil, nil, errHalf
	}
	if len(c.sends) > 0 && c.asked.IsZero() && by(c.heard.Add(l.PingAfter)) {
		c.ask(nil, stillTag)
	}
	if !c.asked.IsZero() && by(c.asked.Add(l.GiveUpTime)) {
		return nil, nil, errMute
	}
	for _, s := range c.sends {
		if !s.undone && !now.Before(s.until) {
			c.undo(s, router.TimedOut)
		}
		if !s.undone {
			by(s.until)
		} else if by(s.heardBy) {
			ends = append(ends, c.finish(s, s.outcome))
		}
	}
	for tag, at := range c.pings {
		if by(at) {
			delete(c.pings, tag)
			ends = append(ends, HealthCheckEnded{Engine: c.engine, Outcome: router.TimedOut})
		}
	}
	out := c.out
	c.out, c.queued = nil, 0
	for _, it := range out {
		if it.send != nil {
			if it.send.tooLate(now) {
				ends = append(ends, c.finish(it.send, router.Withdrawn))
				continue
			}
			it.send.written = true
		}
		batch = append(batch, it)
	}
	if len(batch) == 0 {
		up.SetReadDeadline(due)
	}
	return batch, ends, nil
}

// take files one answer. One to an id that is not out here crossed the end of its send, and tells nothing.
func (c *conn) take(a enginewire.Answer) (events []Event, err error) {
	var load *router.LoadReport
	if a.Report != nil {
		load = settings.UnknownLoad()
		set := func(name string, x float64) { settings.SetLoadField(load, name, x) }
		if err := enginewire.Report(a.Report, set); err != nil {
			return nil, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard, c.asked = time.Now(), time.Time{}
	if a.Word == enginewire.Ready {
		return c.ready(string(a.ID), load), nil
	}
	s := c.sends[string(a.ID)]
	if s == nil || !s.written {
		return nil, nil
	}
	if load != nil {
		s.load = load
	}
	switch a.Word {
	case enginewire.Full, enginewire.Stale:
		if s.pages != nil {
			return nil, enginewire.ErrMalformed
		}
		if s.ran { // who has told of progress can't tell that it never ran
			return one(c.finish(s, router.Errored)), nil
		}
		if a.Word == enginewire.Stale {
			return one(c.finish(s, router.NotSent)), nil
		}
		return one(c.finish(s, router.EngineFull)), nil
	case enginewire.Error:
		return one(c.finish(s, router.Errored)), nil
	case enginewire.Note:
		if what, known := note(a); known {
			s.ran = s.ran || what == router.ProgressDone && a.Value > 0
			return one(AttemptProgress{s.cmd, s.number, what, a.Value}), nil
		}
		return nil, nil
	}
	return c.page(s, a)
}

// ready takes in that the engine has read all that came before a ping.
func (c *conn) ready(tag string, load *router.LoadReport) []Event {
	if _, probe := c.pings[tag]; probe {
		delete(c.pings, tag)
		c.idleAt = time.Now()
		return one(HealthCheckEnded{c.engine, router.Succeeded, load})
	}
	id, undo := strings.CutPrefix(tag, undoTag)
	if s := c.sends[id]; undo && s != nil && s.undone && s.written {
		return one(c.finish(s, s.outcome))
	}
	return nil
}

// page gathers a result. After an undo the engine no longer has further pages, so only a whole result counts.
func (c *conn) page(s *send, a enginewire.Answer) ([]Event, error) {
	l, at := c.pool.limits, a.PartNo
	if a.Word == enginewire.OK {
		at = 0
	}
	if at < len(s.pages) && s.pages[at] != nil && bytes.Equal(s.pages[at], a.Body) {
		return nil, nil // a second copy: it tells nothing, and is no reason to give up what else is out here
	}
	if a.Word == enginewire.OK {
		if s.pages != nil || a.Parts > l.Pages {
			return nil, enginewire.ErrMalformed
		}
		s.pages, s.missing = make([][]byte, max(1, a.Parts)), max(1, a.Parts)
		if s.undone && s.missing > 1 {
			return one(c.finish(s, s.outcome)), nil
		}
		var b []byte
		for n := 1; n < a.Parts; n++ {
			b = enginewire.AppendPage(b, s.cmd.ID, n)
		}
		if b != nil {
			c.say(b)
		}
	}
	if at >= len(s.pages) || s.pages[at] != nil || !enginewire.Whole(a.Body) || s.size+len(a.Body) > l.ResultBytes {
		return nil, enginewire.ErrMalformed
	}
	s.pages[at] = append(make([]byte, 0, max(1, len(a.Body))), a.Body...)
	s.size += len(a.Body)
	if s.missing--; s.missing > 0 {
		return nil, nil
	}
	if len(s.pages) > 1 {
		c.say(enginewire.AppendForget(nil, s.cmd.ID))
	}
	return one(c.finish(s, router.Succeeded)), nil
}

func one(event Event) []Event { return []Event{event} }

func note(a enginewire.Answer) (what router.ProgressKind, known bool) {
	switch {
	case len(a.Remark) == 0:
		return 0, false
	case bytes.Equal(a.Remark, []byte("progress")):
		return router.ProgressDone, true
	case bytes.Equal(a.Remark, []byte("spill_mb")):
		return router.ProgressSpilling, true
	case bytes.Equal(a.Remark, []byte("blocked")) && a.Value == 2:
		return router.ProgressWaitsForTables, true
	case bytes.Equal(a.Remark, []byte("blocked")):
		return router.ProgressWaitsForMemory, true
	}
	return router.ProgressOther, true
}

// end ends all that is left: what no byte has left of never ran, and of the rest nobody knows.
func (c *conn) end(err error, written router.Outcome) {
	c.mu.Lock()
	c.over = true
	c.gone.Store(true)
	var ends []Event
	for _, s := range c.sends {
		outcome := written
		switch {
		case s.undone && s.written:
			outcome = s.outcome
		case !s.written:
			outcome = router.ConnectFailed
		}
		ends = append(ends, c.finish(s, outcome))
	}
	for tag := range c.pings {
		delete(c.pings, tag)
		ends = append(ends, HealthCheckEnded{Engine: c.engine, Outcome: router.ConnectFailed})
	}
	c.mu.Unlock()
	c.cancel()
	if !errors.Is(err, errIdle) && !errors.Is(err, context.Canceled) {
		c.pool.note(c.engine, err, len(ends))
	}
	c.tell(ends)
}
