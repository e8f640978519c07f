package logs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// newTestLog returns a log, its output and its clock, which only the test advances.
func newTestLog(b Block) (*Log, *bytes.Buffer, *time.Time) {
	var out bytes.Buffer
	now := time.Unix(1000, 0)
	l := New(&out, b)
	l.limiter.now = func() time.Time { return now }
	return l, &out, &now
}

// A line has the same content as text and as JSON. Groups are joined by dots, and each attribute is
// in the group in which it was set.
func TestTextAndJSONSayTheSame(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		b := DefaultBlock()
		b.Format = format
		l, out, _ := newTestLog(b)
		log := l.Logger().With("a", 1).WithGroup("g").With("b", 2)
		log.Warn("it happened", "c", slog.GroupValue(slog.Int("d", 3)), "why", fmt.Errorf("two words"))
		if format == "text" {
			for _, want := range []string{" WRN it happened ", "a=1", "g.b=2", "g.c.d=3", `g.why="two words"`} {
				if !strings.Contains(out.String(), want) {
					t.Errorf("text line has no %q: %s", want, out)
				}
			}
			continue
		}
		var line map[string]any
		if err := json.Unmarshal(out.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		if line["level"] != "warn" || line["message"] != "it happened" || line["a"] != 1.0 || line["g.b"] != 2.0 ||
			line["g.c.d"] != 3.0 || line["g.why"] != "two words" || line["time"] == nil {
			t.Error(line)
		}
	}
}

// One message is repeated more often than the burst allows. The surplus is dropped and counted
// while other kinds are written, and the next line of the kind has the count. A clock that is set
// back does not suppress a kind, and the number of tracked kinds is bounded.
func TestRateLimitByKind(t *testing.T) {
	b := DefaultBlock()
	b.Burst = 3
	l, out, now := newTestLog(b)
	log := l.Logger()
	for range 10 {
		log.Info("often")
	}
	log.Info("seldom")
	log.Warn("often") // another level makes another kind
	if n := strings.Count(out.String(), "\n"); n != 5 {
		t.Errorf("%d lines are written, want 5: %s", n, out)
	}
	out.Reset()
	*now = now.Add(b.Every)
	log.Info("often")
	log.Info("often")
	if n := strings.Count(out.String(), "dropped=7"); n != 1 {
		t.Error(out.String())
	}
	*now = now.Add(-time.Hour) // the clock is set back
	out.Reset()
	log.Info("often")
	if out.Len() == 0 {
		t.Error("no line is written after the clock was set back")
	}
	for i := range 10 * maxKinds {
		log.Info(fmt.Sprint("kind ", i))
	}
	if len(l.limiter.windows) > maxKinds+1 {
		t.Errorf("%d kinds have windows, want at most maxKinds+1", len(l.limiter.windows))
	}
}

// Level and format change while the process runs. Existing loggers use the new ones.
func TestChangesHoldForExistingLoggers(t *testing.T) {
	l, out, _ := newTestLog(DefaultBlock())
	log := l.Logger()
	log.Debug("quiet")
	b := DefaultBlock()
	b.Level, b.Format = slog.LevelDebug, "json"
	l.Configure(b)
	log.Debug("loud")
	b.Level = slog.LevelError
	l.Configure(b)
	log.Warn("quiet")
	if text := out.String(); strings.Contains(text, "quiet") || !strings.Contains(text, `"message":"loud"`) {
		t.Error(text)
	}
}

// Many goroutines log while the log is reconfigured. Lines are not interleaved.
func TestLinesOfManyGoroutinesStayWhole(t *testing.T) {
	b := DefaultBlock()
	b.Format, b.Burst = "json", 1e6
	l, out, _ := newTestLog(b)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 200 {
				l.Logger().Info("line", "x", strings.Repeat("x", 100))
				l.Configure(b)
			}
		})
	}
	wg.Wait()
	n := 0
	for line := range strings.Lines(out.String()) {
		n++
		if !json.Valid([]byte(line)) {
			t.Fatalf("line is not valid JSON: %s", line)
		}
	}
	if n != 1600 {
		t.Errorf("%d lines, want 1600", n)
	}
}
