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
	voters       = 7    // whose addresses all are told
	localLatency = 0.3  // ms one way, to which up to jitter is added
	jitter       = 1.0  // ms
	farLatency   = 40.0 // ms one way between two regions: 80 ms there and back
	starting     = 500.0
	pollEvery    = 100.0 // ms between two looks at what controllers know
)

// controller is one of the simulation.
type controller struct {
	id     members.ID
	addr   string
	region int
	table  *members.Table // nil: it does not run
	run    uint64
	peers  peerTable

	wakeAt      float64 // of the timer that counts
	pausedUntil float64
	second      int
	inSecond    int
	busiest     int // bytes sent in its busiest second
}

// conditions are what the network does.
type conditions struct {
	loss   float64
	cutOff int // region that reaches no other; -1: none
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
	pace        members.Config
	encoder     encoder
	mac         hash.Hash
	decode      bool // messages are decoded as the daemon does, so that its processor time counts
	counters    counters
	since       float64                 // ms, when the counters were reset
	wronged     map[members.Member]bool // members taken to be gone though they ran
	err         error
}

// plan is what a simulation is made of.
type plan struct {
	size int
	seed int64
	far  float64 // ms one way between two regions
}

func newSimulation(p plan) *simulation {
	s := &simulation{rng: rand.New(rand.NewSource(p.seed*7919 + int64(p.size))), byID: map[members.ID]*controller{},
		network: conditions{cutOff: -1, far: p.far}, pace: members.DefaultConfig(), mac: hmac.New(sha256.New, make([]byte, sha256.Size)), wronged: map[members.Member]bool{}}
	for range p.size {
		s.addController()
	}
	for _, c := range s.controllers {
		s.at(s.rng.Float64()*starting, func() { s.start(c) })
	}
	return s
}

// addController adds one that does not run yet.
func (s *simulation) addController() *controller {
	n := len(s.controllers)
	c := &controller{id: members.ID(fmt.Sprintf("n%d", n)), region: n % regions,
		addr: fmt.Sprintf("10.%d.%d.%d:7400", n%regions, n/250, n%250)}
	s.controllers = append(s.controllers, c)
	s.byID[c.id] = c
	return c
}

func (s *simulation) at(at float64, run func()) { s.queue.Add(max(at, s.now), run) }

// runUntil plays all events up to a time.
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

// start begins a run of a controller.
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
	c.table = members.New(self, seeds, s.pace, s.rng.Int63(), s.now)
	c.peers, c.wakeAt, c.pausedUntil = peerTable{}, math.Inf(1), 0
	s.turn(c)
}

// stop kills a controller.
func (s *simulation) stop(c *controller) { c.table = nil }

// turn carries out what a table asks for after some input.
func (s *simulation) turn(c *controller) {
	for _, change := range c.table.TakeChanges() {
		s.judge(c, change)
	}
	for _, out := range c.table.TakeMessages() {
		s.send(c, out)
	}
	if next := max(c.table.Next(), s.now+0.5); next < c.wakeAt {
		s.wake(c, next)
	}
}

// wake sets a controller's timer.
func (s *simulation) wake(c *controller, at float64) {
	run := c.run
	c.wakeAt = at
	s.at(at, func() {
		if c.table == nil || c.run != run || c.wakeAt != at {
			return
		}
		if s.now < c.pausedUntil {
			s.wake(c, c.pausedUntil)
			return
		}
		c.wakeAt = math.Inf(1)
		if next := c.table.Next(); next > s.now {
			s.wake(c, next)
			return
		}
		s.counters.timers++
		c.table.Tick(s.now)
		s.turn(c)
	})
}

// judge counts what is believed wrongly of a controller that runs, is reached and does not stand still.
func (s *simulation) judge(at *controller, change members.Change) {
	about := s.byID[change.Member.ID]
	if about.table == nil || about.run != change.Member.Run || s.now < about.pausedUntil || s.network.cutOff >= 0 {
		return
	}
	switch {
	case change.Member.State == members.Suspect && change.Member.Suspector == at.id:
		s.counters.falseSuspicions++
	case change.Member.State == members.Dead && !s.wronged[change.Member]:
		s.wronged[change.Member] = true
		s.counters.falseDeaths++
	}
}

// spend counts bytes that a controller sends.
func (s *simulation) spend(c *controller, bytes int) {
	s.counters.bytes += bytes
	if second := int(s.now / 1000); second != c.second {
		c.second, c.inSecond = second, 0
	}
	c.inSecond += bytes
	c.busiest = max(c.busiest, c.inSecond)
}

func (s *simulation) reached(from, to *controller) bool {
	return from.region == to.region || from.region != s.network.cutOff && to.region != s.network.cutOff
}

// send carries a message over its connection, which is opened where there is none.
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
	if open != nil && s.endedByPeer(from, to, open) { // what ending it costs was counted when it was opened
		delete(from.peers, to.id)
		open = nil
	}
	if !s.carried(from, to, open, frame) {
		return
	}
	latencies := 1.0
	if open == nil {
		latencies = dialLatencies
		s.dial(from, to)
	} else {
		open.used = s.now
	}
	s.spend(from, frame.sender)
	s.spend(to, frame.receiver)
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

// authenticate works out what sender and receiver of a frame do for it.
func (s *simulation) authenticate(payload []byte) {
	for range 2 {
		s.mac.Reset()
		s.mac.Write(payload) // never fails
		s.mac.Sum(nil)
	}
}

// endedByPeer tells whether a connection's receiver has ended, which the sender sees by the end of what it reads.
func (s *simulation) endedByPeer(from, to *controller, open *connection) bool {
	return s.reached(from, to) && (to.table == nil || open.run != to.run)
}

// carried tells whether a message gets over at all; one that does not costs what was tried.
func (s *simulation) carried(from, to *controller, open *connection, frame traffic) bool {
	switch {
	case !s.reached(from, to) && open != nil:
		s.spend(from, lostTries*frame.sender)
		open.writes++
		if open.writes >= lostTries {
			delete(from.peers, to.id)
		}
	case !s.reached(from, to):
		s.spend(from, dialTries*synHeader)
	case to.table == nil:
		s.spend(from, synHeader)
		s.spend(to, resetHeader)
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
	s.spend(from, cost.sender)
	s.spend(to, cost.receiver)
	from.peers.opened(to.id, &connection{run: to.run, used: s.now})
}

func (s *simulation) latency(from, to *controller) float64 {
	if from.region != to.region {
		return s.network.far
	}
	return localLatency
}

// deliver hands a message to the run that it was sent to, when that does not stand still.
func (s *simulation) deliver(from, to *controller, run uint64, m members.Message) {
	if to.table == nil || to.run != run || !s.reached(from, to) {
		return
	}
	if s.now < to.pausedUntil {
		s.at(to.pausedUntil, func() { s.deliver(from, to, run, m) })
		return
	}
	to.table.Receive(s.now, from.id, m)
	s.turn(to)
}

// running are the controllers that run.
func (s *simulation) running() (list []*controller) {
	for _, c := range s.controllers {
		if c.table != nil {
			list = append(list, c)
		}
	}
	return list
}
