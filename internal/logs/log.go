package logs

import (
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat has milliseconds, as many events of one failure are less than a second apart.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// zerolog has one time format per process; its default has no fractions of a second.
func init() { zerolog.TimeFieldFormat = timeFormat }

// Log is the destination of all log lines of a process.
type Log struct {
	out     *lineWriter
	limiter *rateLimiter
	config  atomic.Pointer[config]
}

// config is the current block and the zerolog handler built from it.
type config struct {
	block   Block
	handler slog.Handler
}

// New returns a log that writes whole lines to out, one at a time.
func New(out io.Writer, b Block) *Log {
	l := &Log{
		out:     &lineWriter{to: out},
		limiter: &rateLimiter{now: time.Now, windows: map[kind]*window{}},
	}
	l.Configure(b)
	return l
}

// Configure changes format, level and rate limit, also of existing loggers.
func (l *Log) Configure(b Block) {
	var to io.Writer = l.out
	if b.Format != formatJSON {
		to = zerolog.ConsoleWriter{Out: l.out, NoColor: true, TimeFormat: timeFormat}
	}
	handler := zerolog.NewSlogHandler(zerolog.New(to).Level(zerologLevel(b.Level)))
	l.config.Store(&config{block: b, handler: handler})
}

// zerologLevel returns the highest zerolog level that still writes lines of an slog level.
func zerologLevel(level slog.Level) zerolog.Level {
	switch {
	case level < slog.LevelInfo:
		return zerolog.DebugLevel
	case level >= slog.LevelError:
		return zerolog.ErrorLevel
	case level >= slog.LevelWarn:
		return zerolog.WarnLevel
	}
	return zerolog.InfoLevel
}

// Logger returns a logger that writes to the log.
func (l *Log) Logger() *slog.Logger { return slog.New(&handler{log: l}) }

// lineWriter serializes writes of whole lines, which zerolog's writers don't.
type lineWriter struct {
	mu sync.Mutex
	to io.Writer
}

// Write never returns an error: zerolog would report it by writing a line to the same destination.
func (w *lineWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.to.Write(line)
	return len(line), nil
}
