// Package logs writes the daemon's log lines: log/slog in front, zerolog behind. Form, level and bound come from the
// block log of the operator's file and change while running. Lines are bounded by kind, so that an outage that says one
// thing a thousand times does not drown the one line that tells why. It stands beside the loop, which has no log.
package logs

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/rs/zerolog"

	"mintkeel/internal/operator/block"
)

// Block is the block log of the operator's file.
type Block struct {
	Format string // "text" for people, "json" for programs
	Level  slog.Level
	Burst  int           // lines of one kind within Every; the rest is counted and dropped
	Every  time.Duration // from 10 ms to an hour
}

// Usual is what holds where no block says otherwise.
func Usual() Block {
	return Block{Format: "text", Level: slog.LevelInfo, Burst: 20, Every: time.Second}
}

// ReadBlock reads the block log.
func ReadBlock(b *hcl.Block, sheet *block.Sheet) Block {
	usual := Usual()
	open := block.Open(b, sheet, "format", "level", "burst", "every")
	level := open.Choice("level", "info", "debug", "info", "warn", "error")
	usual.Level.UnmarshalText([]byte(level)) // one of the words, which slog knows
	usual.Format = open.Choice("format", usual.Format, "text", "json")
	usual.Burst = open.Whole("burst", usual.Burst, 1, 1_000_000)
	usual.Every = open.Duration("every", usual.Every, 10*time.Millisecond, time.Hour)
	return usual
}

// Log is where all lines of a process go.
type Log struct {
	out *guarded
	now func() time.Time
	set atomic.Pointer[form]

	mu    sync.Mutex
	kinds map[kind]*count
}

// form is what a block says, with the library's side of it.
type form struct {
	block Block
	to    slog.Handler
}

// kind tells lines apart: those of one kind are bounded together. Messages are constants of the program, so there are
// few; what varies stands in attributes.
type kind struct {
	level   slog.Level
	message string
}

// mostKinds bounds the books should a message ever hold something that varies; past it all share one kind.
const mostKinds = 256

// count is how many lines of a kind were written since a moment, and dropped since the last one written.
type count struct {
	since            time.Time
	written, dropped int
}

// New begins a log that writes whole lines to out, one at a time.
func New(out io.Writer, b Block) *Log {
	l := &Log{out: &guarded{to: out}, now: time.Now, kinds: map[kind]*count{}}
	l.Set(b)
	return l
}

// Set changes over to another form, level and bound.
func (l *Log) Set(b Block) {
	var to io.Writer = l.out
	if b.Format != "json" {
		to = zerolog.ConsoleWriter{Out: l.out, NoColor: true, TimeFormat: stamp}
	}
	level := zerolog.InfoLevel
	switch {
	case b.Level < slog.LevelInfo:
		level = zerolog.DebugLevel
	case b.Level >= slog.LevelError:
		level = zerolog.ErrorLevel
	case b.Level >= slog.LevelWarn:
		level = zerolog.WarnLevel
	}
	l.set.Store(&form{b, zerolog.NewSlogHandler(zerolog.New(to).Level(level))})
}

// stamp is how text tells the time: to the millisecond, as causes and effects lie that close.
const stamp = "2006-01-02T15:04:05.000Z07:00"

// The library keeps the form of times for the whole process; its own has no fractions of a second.
func init() { zerolog.TimeFieldFormat = stamp }

// Logger is a front that any goroutine may use.
func (l *Log) Logger() *slog.Logger { return slog.New(&handler{log: l}) }

// room tells whether one more line of a kind may be written, and how many were dropped before it.
func (l *Log) room(of kind, b Block) (dropped int, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.kinds[of]
	if c == nil && len(l.kinds) >= mostKinds {
		of = kind{message: "other"}
		c = l.kinds[of]
	}
	if c == nil {
		c = &count{since: now}
		l.kinds[of] = c
	}
	if past := now.Sub(c.since); past >= b.Every || past < 0 { // less than none: the clock was set back
		c.since, c.written = now, 0
	}
	if c.written >= b.Burst {
		c.dropped++
		return 0, false
	}
	c.written++
	dropped, c.dropped = c.dropped, 0
	return dropped, true
}

// guarded keeps lines apart; the library's writers do not. A line that can't be written is lost: there is nowhere to
// say so.
type guarded struct {
	mu sync.Mutex
	to io.Writer
}

func (g *guarded) Write(line []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.to.Write(line)
	return len(line), nil // an error would have the library write one more line, to where this one failed
}

// handler keeps attributes and groups in front of the library, which would move attributes into groups opened later.
type handler struct {
	log *Log
	at  []layer
}

// layer is a group that was opened, with the attributes set within; the first has no name.
type layer struct {
	group string
	attrs []slog.Attr
}

func (h *handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= h.log.set.Load().block.Level
}

func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	f := h.log.set.Load()
	dropped, ok := h.log.room(kind{r.Level, r.Message}, f.block)
	if !ok {
		return nil
	}
	out := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
	var own []slog.Attr
	r.Attrs(func(a slog.Attr) bool { own = append(own, a); return true })
	for i := len(h.at) - 1; i >= 0; i-- {
		own = append(h.at[i].attrs[:len(h.at[i].attrs):len(h.at[i].attrs)], own...)
		if h.at[i].group != "" {
			own = []slog.Attr{{Key: h.at[i].group, Value: slog.GroupValue(own...)}}
		}
	}
	out.AddAttrs(own...)
	if dropped > 0 {
		out.AddAttrs(slog.Int("dropped", dropped))
	}
	return f.to.Handle(ctx, out)
}

func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	if len(attrs) == 0 {
		return h
	}
	return &handler{h.log, append(h.at[:len(h.at):len(h.at)], layer{attrs: attrs})}
}

func (h *handler) WithGroup(name string) slog.Handler {
	if name == "" {
		return h
	}
	return &handler{h.log, append(h.at[:len(h.at):len(h.at)], layer{group: name})}
}
