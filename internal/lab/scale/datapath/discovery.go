package datapath

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"slices"
	"time"

	"mintkeel/internal/controller"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/lab/scale/daemon"
	"mintkeel/internal/lab/scale/slope"
	"mintkeel/internal/limits"
	"mintkeel/internal/settings"
	"mintkeel/router"
)

// Kinds of frames, and the sizes of a record and of a frame's header, as package discovery reads them.
const (
	frameWhole  = 1
	frameChange = 2
	recordBytes = 27
	headerBytes = 13
)

// frame encodes a discovery frame that reports a state for the engines from first up to, but not including, last.
func frame(number uint64, kind byte, first, last int, state router.EngineState) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(headerBytes-4+recordBytes*(last-first)))
	b = append(binary.BigEndian.AppendUint64(b, number), kind)
	for i := first; i < last; i++ {
		b = binary.BigEndian.AppendUint32(b, uint32(i+1))
		b = binary.BigEndian.AppendUint16(append(b, 127, 0, 0, 1), uint16(1024+i))
		b = append(b, byte(state), 0, 0) // zone and kind: the first ones in the settings
		b = binary.BigEndian.AppendUint16(b, 0)
		b = binary.BigEndian.AppendUint32(b, 1000)
		b = binary.BigEndian.AppendUint64(b, 0)
	}
	return b
}

// discoveryServer is the discovery service's end of the connection to one controller.
type discoveryServer struct {
	listener net.Listener
	conn     net.Conn
	last     uint64 // number of the last frame
}

func newDiscoveryServer() (*discoveryServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &discoveryServer{listener: listener}, nil
}

func (f *discoveryServer) addr() string { return f.listener.Addr().String() }

// accept waits for the controller, which first sends the number of the last frame that it has.
func (f *discoveryServer) accept() (err error) {
	f.listener.(*net.TCPListener).SetDeadline(time.Now().Add(daemon.StartTimeout))
	if f.conn, err = f.listener.Accept(); err != nil {
		return err
	}
	f.conn.SetDeadline(time.Now().Add(daemon.StartTimeout))
	head := make([]byte, 8)
	_, err = io.ReadFull(f.conn, head)
	f.last = binary.BigEndian.Uint64(head)
	return err
}

// send writes a frame with the next number.
func (f *discoveryServer) send(kind byte, first, last int, state router.EngineState) error {
	f.last++
	f.conn.SetDeadline(time.Now().Add(daemon.StartTimeout))
	_, err := f.conn.Write(frame(f.last, kind, first, last, state))
	return err
}

func (f *discoveryServer) close() {
	f.listener.Close()
	if f.conn != nil {
		f.conn.Close()
	}
}

// listReceiver runs the parts of the daemon that receive the list of engines in this process: the discovery watcher, the
// controller loop, the pool of connections to engines and the decision module.
type listReceiver struct {
	feed    *discoveryServer
	loop    *controller.Loop
	updates int64 // frames sent so far
	cancel  context.CancelFunc
}

func newListReceiver(ctx context.Context, seed int64) (*listReceiver, error) {
	facts, err := deploymentFacts()
	if err != nil {
		return nil, err
	}
	feed, err := newDiscoveryServer()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	l := limits.For(daemon.DescriptorLimit(), daemon.Memory, facts.Connections.ConnectTimeout, facts.Connections.IdleTimeout, daemon.Deadline)
	loop := controller.New(facts.NewRouter(seed), controller.SystemClock(), l.EventQueueLength, 0)
	loop.SetEngines(engines.New(l, facts.Connections.AttemptsPerConnection, loop.PostEngineEvent, log))
	go loop.Run(ctx)
	follower := discovery.NewWatcher(feed.addr(), 0, &facts.Names, l, loop.PostEndpoints, log)
	go follower.Follow(ctx)
	w := &listReceiver{feed: feed, loop: loop, cancel: cancel}
	if err := feed.accept(); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// deploymentFacts reads the facts of the deployment from the daemon's settings.
func deploymentFacts() (*settings.Facts, error) {
	text, err := json.Marshal(daemon.Settings(controllers, true))
	if err != nil {
		return nil, err
	}
	var nested map[string]any
	if err := json.Unmarshal(text, &nested); err != nil {
		return nil, err
	}
	return settings.Read(settings.Flatten(nested))
}

func (w *listReceiver) close() {
	w.feed.close()
	w.cancel()
}

// sendAndWait sends a frame, waits until the module has processed it, and returns the time that this took.
func (w *listReceiver) sendAndWait(kind byte, first, last int, state router.EngineState) (time.Duration, error) {
	began := time.Now()
	if err := w.feed.send(kind, first, last, state); err != nil {
		return 0, err
	}
	w.updates++
	for w.loop.Counts().EndpointUpdates < w.updates {
		if time.Since(began) > daemon.StartTimeout {
			return 0, errors.New("the loop did not process the discovery frame in time")
		}
		time.Sleep(20 * time.Microsecond)
	}
	w.loop.Counts() // returns only after the step that the frame caused
	return time.Since(began), nil
}

// listChange is a change that is reported to a list of engines again and again.
type listChange struct {
	name   string
	kind   byte
	share  float64              // share of the engines that change
	states []router.EngineState // states that are reported in turn
}

// listCost is the cost of one frame of a change.
type listCost struct {
	bytes           int
	median, longest float64 // ms until the module has processed the frame
	processor       float64 // processor time of the daemon in ms
}

func (c listChange) engines(n int) int { return int(float64(n)*c.share + 0.5) }

// frameTimes sends a list of n engines to a controller in this process and then, listRepeats times, the change, and
// measures how long each frame takes.
func (b *bench) frameTimes(ctx context.Context, n int, c listChange, cost *listCost) error {
	w, err := newListReceiver(ctx, b.seed)
	if err != nil {
		return err
	}
	defer w.close()
	if _, err := w.sendAndWait(frameWhole, 0, n, router.Ready); err != nil {
		return err
	}
	var took []float64
	for i := range b.listRepeats {
		one, err := w.sendAndWait(c.kind, 0, c.engines(n), c.states[i%len(c.states)])
		if err != nil {
			return err
		}
		took = append(took, float64(one)/1e6)
	}
	slices.Sort(took)
	cost.median, cost.longest = quantile(took, 0.5), quantile(took, 1)
	return nil
}

// frameSpacing is the time between two frames to the daemon. It makes each frame a step of its own.
const frameSpacing = 25 * time.Millisecond

// frameProcessor sends the same frames to a daemon and measures its processor time.
func (b *bench) frameProcessor(ctx context.Context, n int, c listChange, cost *listCost) error {
	feed, err := newDiscoveryServer()
	if err != nil {
		return err
	}
	defer feed.close()
	dir, err := os.MkdirTemp(b.dir, "discovery")
	if err != nil {
		return err
	}
	d, err := daemon.Start(ctx, daemon.Options{Binary: b.mintkeel, Folder: dir, Name: daemonName, DiscoveryAddr: feed.addr(),
		Controllers: controllers, Seed: b.seed, Probes: true})
	if err != nil {
		return err
	}
	defer d.Stop()
	if err := feed.accept(); err != nil {
		return err
	}
	tell := func(kind byte, last int, state router.EngineState) error {
		err := feed.send(kind, 0, last, state)
		time.Sleep(frameSpacing)
		return err
	}
	if err := tell(frameWhole, n, router.Ready); err != nil {
		return err
	}
	time.Sleep(4 * frameSpacing)
	before, err := d.ProcessorTime()
	if err != nil {
		return err
	}
	for i := range b.listRepeats {
		if err := tell(c.kind, c.engines(n), c.states[i%len(c.states)]); err != nil {
			return err
		}
	}
	after, err := d.ProcessorTime()
	cost.processor = (after - before) * 1000 / float64(b.listRepeats)
	return err
}

// listChanges are the whole list, and the engines of a region that change together.
var listChanges = []listChange{
	{"whole list", frameWhole, 1, []router.EngineState{router.Ready}},
	{"a region's engines go and come back", frameChange, 1.0 / regions, []router.EngineState{router.Gone, router.Ready}},
}

// discovery measures frames with the whole list and with changes by the number of engines.
func (b *bench) discovery(ctx context.Context) (rows []slope.Row, err error) {
	bound := float64(limits.For(daemon.DescriptorLimit(), daemon.Memory, 0, 0, 0).DiscoveryFrameBytes)
	for _, c := range listChanges {
		row := func(cost, unit string, budget float64, note string) slope.Row {
			return slope.Row{Role: controllerRole, Cost: "discovery: " + cost, Unit: unit, Per: "engines", Condition: c.name,
				Method: methodSockets, Target: engineCount, Budget: budget, Note: note}
		}
		bytes := row("bytes of a frame", "bytes", bound, "the budget is the bound of a frame")
		took := row("median until it is taken", "ms", 0, "")
		processor := row("processor for each", "ms", 0, "")
		costs := make([]listCost, len(b.listed))
		err := inParallelLimited(len(b.listed), b.parallel, func(i int) error {
			n := b.listed[i]
			costs[i].bytes = len(frame(1, c.kind, 0, c.engines(n), router.Ready))
			return errors.Join(b.frameTimes(ctx, n, c, &costs[i]), b.frameProcessor(ctx, n, c, &costs[i]))
		})
		if err != nil {
			return rows, err
		}
		for i, n := range b.listed {
			cost, size := costs[i], float64(n)
			bytes.Points = append(bytes.Points, slope.Point{Size: size, Value: float64(cost.bytes)})
			took.Points = append(took.Points, slope.Point{Size: size, Value: cost.median})
			took.Note += fmt.Sprintf("at %d %.2f at the most; ", n, cost.longest)
			processor.Points = append(processor.Points, slope.Point{Size: size, Value: cost.processor})
		}
		rows = append(rows, bytes, took, processor)
	}
	return rows, nil
}
