package datapath

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"mintkeel/internal/bulletin"
	"mintkeel/internal/controller"
	"mintkeel/internal/engines"
	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/limits"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// Kinds of frames, and the size of a record, as package bulletin reads them.
const (
	frameWhole  = 1
	frameChange = 2
	recordBytes = 27
	headBytes   = 13
)

// frame is a frame of the feed that tells the states of engines first to last.
func frame(number uint64, kind byte, first, last int, state router.State) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(headBytes-4+recordBytes*(last-first)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	for i := first; i < last; i++ {
		b = binary.BigEndian.AppendUint32(b, uint32(i+1))
		b = binary.BigEndian.AppendUint16(append(b, 127, 0, 0, 1), uint16(1024+i))
		b = append(b, byte(state), 0, 0) // zone and kind: the first of the settings
		b = binary.BigEndian.AppendUint16(b, 0)
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, 0)
	}
	return b
}

// watcher is the daemon's way of taking the list, in this process: the feed's follower, the loop, the pool of
// connections to engines and the decision module, behind a socket that frames are written to.
type watcher struct {
	loop   *controller.Loop
	conn   net.Conn // the feed's end
	last   uint64
	news   int64
	cancel context.CancelFunc
}

func newWatcher(ctx context.Context, seed int64) (*watcher, error) {
	facts, err := deploymentFacts()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(ctx)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l := limits.For(descriptorLimit(), daemonMemory, facts.Links.ConnectTimeout, facts.Links.Idle, deadline)
	loop := controller.New(facts.Router(seed), controller.SystemClock(), l.Inbox, 0)
	loop.SetEngines(engines.New(l, facts.Links.Streams, loop.Post, log))
	go loop.Run(ctx)
	feed := bulletin.NewFeed(listener.Addr().String(), 0, &facts.Names, l, func(news bulletin.News) { loop.Post(news) }, log)
	go feed.Follow(ctx)
	w := &watcher{loop: loop, cancel: cancel}
	listener.(*net.TCPListener).SetDeadline(time.Now().Add(startTime))
	if w.conn, err = listener.Accept(); err != nil {
		cancel()
		return nil, err
	}
	w.conn.SetDeadline(time.Now().Add(startTime))
	if _, err := io.ReadFull(bufio.NewReader(w.conn), make([]byte, 8)); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// deploymentFacts are those of the daemon's settings.
func deploymentFacts() (*settings.Facts, error) {
	text, err := json.Marshal(deploymentSettings(controllers))
	if err != nil {
		return nil, err
	}
	var nested map[string]any
	if err := json.Unmarshal(text, &nested); err != nil {
		return nil, err
	}
	return settings.Read(settings.Flatten(nested))
}

func (w *watcher) close() {
	w.conn.Close()
	w.cancel()
}

// tell writes a frame of the next number and waits until the module has taken it in.
func (w *watcher) tell(kind byte, first, last int, state router.State) (time.Duration, error) {
	w.last++
	b := frame(w.last, kind, first, last, state)
	began := time.Now()
	w.conn.SetDeadline(began.Add(startTime))
	if _, err := w.conn.Write(b); err != nil {
		return 0, err
	}
	w.news++
	for w.loop.Counts().News < w.news {
		if time.Since(began) > startTime {
			return 0, errors.New("the list was not taken")
		}
		time.Sleep(20 * time.Microsecond)
	}
	w.loop.Counts() // it answers after the step that the news belonged to
	return time.Since(began), nil
}

// told is what frames of a size cost.
type told struct {
	bytes        int
	median, most float64 // ms
	processor    float64 // ms of each, the rig's own looks included
}

// repeat tells one kind of change again and again, states taking turns.
func (w *watcher) repeat(times int, kind byte, first, last int, states ...router.State) (out told, err error) {
	out.bytes = len(frame(1, kind, first, last, states[0]))
	var took []float64
	before := selfProcessor()
	for i := range times {
		one, err := w.tell(kind, first, last, states[i%len(states)])
		if err != nil {
			return out, err
		}
		took = append(took, float64(one)/1e6)
	}
	out.processor = (selfProcessor() - before) * 1000 / float64(times)
	slices.Sort(took)
	out.median, out.most = quantile(took, 0.5), quantile(took, 1)
	return out, nil
}

// selfProcessor is the time that this process has had on processors, in seconds.
func selfProcessor() float64 {
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return 0
	}
	return float64(use.Utime.Nano()+use.Stime.Nano()) / 1e9
}

// discovery measures the whole list, and changes of a region's worth of engines at once.
func (b *bench) discovery(ctx context.Context) ([]slope.Row, error) {
	bound := float64(limits.For(descriptorLimit(), daemonMemory, 0, 0, 0).FrameBytes)
	var rows []slope.Row
	for _, c := range []struct {
		name   string
		kind   byte
		share  float64
		states []router.State
	}{
		{"whole list", frameWhole, 1, []router.State{router.Ready}},
		{"a region's engines go and come back", frameChange, 1.0 / regions, []router.State{router.Gone, router.Ready}},
	} {
		row := func(cost, unit string, budget float64, note string) slope.Row {
			return slope.Row{Role: controllerRole, Cost: "discovery: " + cost, Unit: unit, Per: "engines", Condition: c.name,
				Method: methodSockets, Target: engineCount, Budget: budget, Note: note}
		}
		bytes := row("bytes of a frame", "bytes", bound, "the budget is the bound of a frame")
		took := row("median until it is taken", "ms", 0, "")
		processor := row("processor for each", "ms", 0, "with the rig's own looks")
		for _, n := range b.listed {
			cost, err := b.list(ctx, n, c.kind, int(float64(n)*c.share+0.5), c.states)
			if err != nil {
				return rows, err
			}
			size := float64(n)
			bytes.Points = append(bytes.Points, slope.Point{Size: size, Value: float64(cost.bytes)})
			took.Points = append(took.Points, slope.Point{Size: size, Value: cost.median})
			took.Note += fmt.Sprintf("at %d %.2f at the most; ", n, cost.most)
			processor.Points = append(processor.Points, slope.Point{Size: size, Value: cost.processor})
		}
		rows = append(rows, bytes, took, processor)
	}
	return rows, nil
}

// list has a controller of its own take a list of n engines and then changes of the first of them.
func (b *bench) list(ctx context.Context, n int, kind byte, changed int, states []router.State) (told, error) {
	w, err := newWatcher(ctx, b.seed)
	if err != nil {
		return told{}, err
	}
	defer w.close()
	if _, err := w.tell(frameWhole, 0, n, router.Ready); err != nil {
		return told{}, err
	}
	return w.repeat(b.listRepeats, kind, 0, changed, states...)
}
