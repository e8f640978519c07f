package membership

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"math/rand"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/lab/eventqueue"
)

const (
	regions      = 3
	voters       = 7    // voters, whose addresses all controllers know
	localLatency = 0.3  // least one-way latency in ms within a region, to which up to jitter is added
	jitter       = 1.0  // ms
	farLatency   = 40.0 // one-way latency in ms between two regions: a round trip of 80 ms
	startWindow  = 500.0
	pollInterval = 100.0 // ms between two polls of the watches
)

// controller is a simulated controller.
type controller struct {
	id     members.ID
	addr   string
	region int
	table  *members.Table // nil: the controller does not run
	run    uint64
	peers  peerTable

	timerAt       float64 // ms, when the current timer fires; earlier timers are ignored
	pausedUntil   float64
	second        int
	bytesInSecond int
	busiest       int // bytes sent in the busiest second
}

// conditions are the faults and latencies of the network.
type conditions struct {
	loss   float64
	cutOff int // region that is cut off from the others; -1: none
	far    float64
}

// counters are sums over all controllers.
type counters struct {
	bytes, handshakeBytes        int
	messages                     int
	timers                       int
	falseSuspicions, falseDeaths int
}

// simulation is a fleet of membership tables in virtual time.
type simulation struct {
	rng         *rand.Rand
	now         float64
	queue       eventqueue.Queue
	controllers []*controller
	byID        map[members.ID]*controller
	network     conditions
	config      members.Config
	encoder     encoder
	mac         hash.Hash
	decode      bool // messages are decoded and authenticated as in the daemon, so that the processor time counts
	counters    counters
	since       float64                 // ms, when the counters were last reset
	falselyDead map[members.Member]bool // members that were declared dead while they ran
	err         error
}

// plan holds the parameters of a simulation.
type plan struct {
	size int
	seed int64
	far  float64 // ms one way between two regions
}

func newSimulation(p plan) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(p.seed*7919 + int64(p.size))), byID: map[members.ID]*controller{},
		network: conditions{cutOff: -1, far: p.far}, config: members.DefaultConfig(), mac: hmac.New(sha256.New, make([]byte, sha256.Size)), falselyDead: map[members.Member]bool{}}
	for range p.size {
		s.addController()
	}
	for _, c := range s.controllers {
		s.at(s.rng.Float64()*startWindow, func() { s.start(c) })
	}
	return s
}

// addController adds a controller that does not run yet.
func (s *simulation) addController() *controller {
	n := len(s.controllers)
	c := &controller{id: members.ID(fmt.Sprintf("n%d", n)), region: n % regions,
		addr: fmt.Sprintf("10.%d.%d.%d:7400", n%regions, n/250, n%250)}
	s.controllers = append(s.controllers, c)
	s.byID[c.id] = c
	return c
}

func (s *simulation) at(at float64, run func()) { s.queue.Add(max(at, s.now), run) }

// runUntil runs all events up to a time.
func (s *simulation) runUntil(ctx context.Context, until float64) error {
	for played := 0; s.queue.NextTime() <= until && s.err == nil; played++ {
		if played%1024 == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		e := s.queue.Pop()
		s.now = e.At
		e.Run()
	}
	s.now = max(s.now, until)
	return s.err
}

// start starts a new run of a controller, unless it runs.
func (s *simulation) start(c *controller) {
	if c.table != nil {
		return
	}
	var seeds []members.Member
	for _, v := range s.controllers[:min(voters, len(s.controllers))] {
		seeds = append(seeds, members.Member{ID: v.id, Addr: v.addr})
	}
	c.run = s.rng.Uint64()
	self := members.Member{ID: c.id, Addr: c.addr, Willing: true, Run: c.run}
	c.table = members.New(self, seeds, s.config, s.rng.Int63(), s.now)
	c.peers, c.timerAt, c.pausedUntil = peerTable{}, math.Inf(1), 0
	s.processOutput(c)
}

// stop kills a controller.
func (s *simulation) stop(c *controller) { c.table = nil }

// processOutput counts the changes and sends the messages of a table after an input, and sets its timer.
func (s *simulation) processOutput(c *controller) {
	for _, change := range c.table.TakeChanges() {
		s.countFalseDetection(c, change)
	}
	for _, out := range c.table.TakeMessages() {
		s.send(c, out)
	}
	if next := max(c.table.Next(), s.now+0.5); next < c.timerAt {
		s.setTimer(c, next)
	}
}

// setTimer sets a controller's timer. A paused controller handles it after the pause.
func (s *simulation) setTimer(c *controller, at float64) {
	run := c.run
	c.timerAt = at
	s.at(at, func() {
		if c.table == nil || c.run != run || c.timerAt != at {
			return
		}
		if s.now < c.pausedUntil {
			s.setTimer(c, c.pausedUntil)
			return
		}
		c.timerAt = math.Inf(1)
		if next := c.table.Next(); next > s.now {
			s.setTimer(c, next)
			return
		}
		s.counters.timers++
		c.table.Tick(s.now)
		s.processOutput(c)
	})
}

// countFalseDetection counts the suspicion or death of a controller that runs and is not paused. It counts nothing while a
// region is cut off.
func (s *simulation) countFalseDetection(at *controller, change members.Change) {
	about := s.byID[change.Member.ID]
	if about.table == nil || about.run != change.Member.Run || s.now < about.pausedUntil || s.network.cutOff >= 0 {
		return
	}
	switch {
	case change.Member.State == members.Suspect && change.Member.Suspector == at.id:
		s.counters.falseSuspicions++
	case change.Member.State == members.Dead && !s.falselyDead[change.Member]:
		s.falselyDead[change.Member] = true
		s.counters.falseDeaths++
	}
}

// countSent counts bytes that a controller sends, also by second.
func (s *simulation) countSent(c *controller, bytes int) {
	s.counters.bytes += bytes
	if second := int(s.now / 1000); second != c.second {
		c.second, c.bytesInSecond = second, 0
	}
	c.bytesInSecond += bytes
	c.busiest = max(c.busiest, c.bytesInSecond)
}

func (s *simulation) reachable(from, to *controller) bool {
	return from.region == to.region || from.region != s.network.cutOff && to.region != s.network.cutOff
}

// send sends a message over the connection to its receiver, which is opened if there is none.
func (s *simulation) send(from *controller, out members.Envelope) {
	to := s.byID[out.To]
	payload, err := s.encoder.payload(&out.Message)
	if err != nil {
		s.err = err
		return
	}
	s.counters.messages++
	frame := segments(len(payload) + frameOverhead)
	open := from.peers.reuse(out.To, s.now)
	if open != nil && s.endedByPeer(from, to, open) { // the cost of closing it was counted when it was opened
		delete(from.peers, to.id)
		open = nil
	}
	if !s.canDeliver(from, to, open, frame) {
		return
	}
	latencies := 1.0
	if open == nil {
		latencies = dialLatencies
		s.dial(from, to)
	} else {
		open.lastUsed = s.now
	}
	s.countSent(from, frame.sender)
	s.countSent(to, frame.receiver)
	if s.network.loss > 0 && s.rng.Float64() < s.network.loss {
		return
	}
	message := out.Message
	if s.decode {
		var decoded node.Message
		if s.err = frames.Decoder.Unmarshal(payload, &decoded); s.err != nil {
			return
		}
		message = *decoded.Members
		s.authenticate(payload)
	}
	took := latencies*s.latency(from, to) + jitter*s.rng.Float64()
	run := to.run
	s.at(s.now+took, func() { s.deliver(from, to, run, message) })
}

// authenticate computes the MAC of a frame twice, as its sender and its receiver do.
func (s *simulation) authenticate(payload []byte) {
	for range 2 {
		s.mac.Reset()
		s.mac.Write(payload) // never fails
		s.mac.Sum(nil)
	}
}

// endedByPeer reports whether the receiver of a connection has stopped or restarted, which the sender notices as the end of
// its input.
func (s *simulation) endedByPeer(from, to *controller, open *connection) bool {
	return s.reachable(from, to) && (to.table == nil || open.run != to.run)
}

// canDeliver reports whether a message reaches a running receiver. For one that does not, it counts the bytes of the failed
// attempts.
func (s *simulation) canDeliver(from, to *controller, open *connection, frame traffic) bool {
	switch {
	case !s.reachable(from, to) && open != nil:
		s.countSent(from, writeAttempts*frame.sender)
		open.failedWrites++
		if open.failedWrites >= writeAttempts {
			delete(from.peers, to.id)
		}
	case !s.reachable(from, to):
		s.countSent(from, dialAttempts*synHeader)
	case to.table == nil:
		s.countSent(from, synHeader)
		s.countSent(to, resetHeader)
	default:
		return true
	}
	return false
}

// dial opens a connection.
func (s *simulation) dial(from, to *controller) {
	hello, err := helloBytes(from.id, to.id, from.run)
	if err != nil {
		s.err = err
		return
	}
	cost := handshake(hello)
	s.counters.handshakeBytes += cost.sender + cost.receiver
	s.countSent(from, cost.sender)
	s.countSent(to, cost.receiver)
	from.peers.add(to.id, &connection{run: to.run, lastUsed: s.now})
}

func (s *simulation) latency(from, to *controller) float64 {
	if from.region != to.region {
		return s.network.far
	}
	return localLatency
}

// deliver passes a message to the run to which it was sent, after the end of a pause.
func (s *simulation) deliver(from, to *controller, run uint64, m members.Message) {
	if to.table == nil || to.run != run || !s.reachable(from, to) {
		return
	}
	if s.now < to.pausedUntil {
		s.at(to.pausedUntil, func() { s.deliver(from, to, run, m) })
		return
	}
	to.table.Receive(s.now, from.id, m)
	s.processOutput(to)
}

// running returns the controllers that run.
func (s *simulation) running() (list []*controller) {
	for _, c := range s.controllers {
		if c.table != nil {
			list = append(list, c)
		}
	}
	return list
}
