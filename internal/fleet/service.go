// Package fleet is a controller's part in a fleet whose controllers talk: it drives core/fleet with sockets, a disk and
// the steady clock, does the jobs of the leases that this one holds, and answers operators on a socket in a folder. It is off unless the
// operator's file has a block fleet. It stands beside the loop: no answer to a client waits for it, and with all talk cut
// off a controller is what it was without it.
package fleet

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/core/fleet/quorum"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/fleet/links"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/records"
)

// Job does what a lease is for while this controller holds it. Its methods are called by one goroutine and must not wait; what takes
// time it does in goroutines of its own, which end with Ended or Close.
type Job interface {
	Began(h job.Context, c lease.Grant)
	Ended(c lease.Grant)
	Tick(h job.Context, now float64)                                         // about each 100 ms
	EffectReceived(h job.Context, from members.ID, e node.Effect)            // an effect that passed the fencing check here
	VerdictReceived(p node.EffectResponse)                                   // what became of an effect of this one
	MessageReceived(h job.Context, from members.ID, data []byte) (mine bool) // a message of another controller's job
	StateReceived(h job.Context, s node.Checkpoint)                          // what the holders of a lease hand on, upon ProposeState or RequestState
	Close()
}

// Context is what a job may do.
type Context interface {
	Self() members.ID
	TryEffect(w lease.Name, to members.ID, id uint64, data []byte) bool // false: the lease is not held, and nothing was sent
	SendMessage(to members.ID, data []byte)
	CanAct(w lease.Name) (lease.Token, bool)
	Release(w lease.Name, failed bool)
	ProposeState(w lease.Name, serial uint64, data []byte) bool // false: the lease is not held
	RequestState(w lease.Name) bool
	Members() []members.Member
	Voters() []members.ID
	Now() float64
}

// Service is one controller's part. It runs from Start until Close.
type Service struct {
	block    Block
	self     members.ID
	log      *slog.Logger
	jobs     []job.Job
	links    *links.Links
	listener net.Listener
	control  net.Listener
	config   *configuration // nil: the fleet has no say in this controller's configuration

	inbox  chan func(*session) // what others ask the goroutine of the core to do
	ctx    context.Context
	end    context.CancelFunc
	group  sync.WaitGroup
	stop   atomic.Bool
	leases atomic.Pointer[[]lease.Name] // nil: those of the block
	done   chan struct{}

	counts struct{ unread, full, restarts, saves, effects, turned atomic.Int64 }
}

const (
	inboxSize  = 1024
	tickMost   = 100.0 // ms between two looks at the clock, for jobs
	againLeast = time.Second
	againMost  = 30 * time.Second
)

// Start begins to take part; host is nil where the fleet has no say in this controller's configuration. Its error is of
// what an operator has to mend: the key's file, the address, the folder.
func Start(b *Block, self string, jobs []job.Job, host *ConfigHost, log *slog.Logger) (*Service, error) {
	return start(b, self, jobs, newFolderConfiguration(host, b.Folder), log)
}

func start(b *Block, self string, jobs []job.Job, configuration *configuration, log *slog.Logger) (*Service, error) {
	keys, err := frames.ReadKeys(b.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet: key_file: %w", err)
	}
	if !nameForm.MatchString(self) {
		return nil, fmt.Errorf("fleet: the controller's name %.64q holds other than letters, digits, '.', '_' and '-'", self)
	}
	folder := disk.Folder(b.Folder)
	if err := folder.Make(); err != nil {
		return nil, fmt.Errorf("fleet: folder: %w", err)
	}
	listener, err := net.Listen("tcp", b.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	ctx, end := context.WithCancel(context.Background())
	jobs = append(slices.Clone(jobs), faultinjection.Jobs(b.Folder)...)
	s := &Service{block: *b, self: members.ID(self), log: log, jobs: jobs, listener: listener,
		config: configuration, inbox: make(chan func(*session), inboxSize), ctx: ctx, end: end, done: make(chan struct{})}
	if s.control, err = listenControl(b.Folder); err != nil {
		log.Warn("fleet: no socket for operators", "why", err)
	}
	run := draw()
	s.links = links.New(frames.Hello{Fleet: b.Name, Generation: b.Generation, From: s.self, Run: run}, keys, links.Usual(), s.received,
		log)
	if b.Dial != nil {
		s.links.SetDial(b.Dial)
	}
	s.links.Serve(listener)
	if s.control != nil {
		s.group.Go(s.answerOperators)
	}
	go s.run(run)
	return s, nil
}

func draw() uint64 {
	var b [8]byte
	crand.Read(b[:]) // never fails
	return max(1, binary.BigEndian.Uint64(b[:]))
}

// received takes in a message, by a connection's goroutine: one that finds the inbox full is dropped, as one that was lost.
func (s *Service) received(r links.Received) {
	var m node.Message
	if err := frames.Decoder.Unmarshal(r.Payload, &m); err != nil {
		s.counts.unread.Add(1)
		return
	}
	s.post(func(in *session) { in.core.Receive(in.now(), r.From, &m) })
}

func (s *Service) post(do func(*session)) bool {
	select {
	case s.inbox <- do:
		return true
	default:
		s.counts.full.Add(1)
		return false
	}
}

// ask has something looked at by the goroutine of the core, within a time.
func ask[T any](s *Service, within time.Duration, look func(*session) T) (T, error) {
	reply := make(chan T, 1)
	var none T
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case s.inbox <- func(in *session) { reply <- look(in) }:
	case <-timer.C:
		return none, errBusy
	case <-s.ctx.Done():
		return none, errEnded
	}
	select {
	case found := <-reply:
		return found, nil
	case <-timer.C:
		return none, errBusy
	case <-s.done:
		return none, errEnded
	}
}

var (
	errBusy  = errors.New("the controller does not answer in time")
	errEnded = errors.New("the controller is ending")
)

// SetKeys reads the file of keys again.
func (s *Service) SetKeys() error {
	keys, err := frames.ReadKeys(s.block.KeyFile)
	if err == nil {
		s.links.SetKeys(keys)
	}
	return err
}

// SetWilling says anew whether this one takes on leases.
func (s *Service) SetWilling(willing bool) {
	s.post(func(in *session) { in.willing = willing; in.core.SetWilling(in.now(), willing) })
}

// Stop gives up what this one owns and says that it ends. It goes on answering until Close.
func (s *Service) Stop() {
	s.stop.Store(true)
	s.post(func(in *session) { in.core.Stop(in.now()) })
}

// Close ends all and waits for it, but not for a disk that hangs.
func (s *Service) Close() {
	s.end()
	<-s.done
	s.links.Close()
	if s.control != nil {
		s.control.Close()
	}
	s.group.Wait()
	if s.config != nil {
		s.config.close()
	}
	for _, p := range s.jobs {
		p.Close()
	}
}

// run takes part, and begins anew when what is kept can't be kept any more: a disk that failed is one that a member must
// not promise by.
func (s *Service) run(run uint64) {
	defer close(s.done)
	wait := againLeast
	for s.ctx.Err() == nil {
		began := time.Now()
		err := s.take(run)
		if s.ctx.Err() != nil {
			return
		}
		s.counts.restarts.Add(1)
		if time.Since(began) > time.Minute {
			wait = againLeast
		}
		s.log.Error("fleet: not taking part for a while", "why", err, "again_in", wait)
		timer := time.NewTimer(wait)
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case <-s.ctx.Done():
				timer.Stop()
				return
			case <-s.inbox: // what it is told meanwhile is lost
			}
		}
		wait = min(2*wait, againMost)
		run = draw()
	}
}

// session is one run of the core.
type session struct {
	*Service
	core    *node.Node
	willing bool
	leases  *[]lease.Name // that the core knows; nil: those of the block
	kept    *records.Log
	writes  chan writeRequest
	results chan result
	saving  bool
	tickAt  float64
	config  sessionConfig
}

type writeRequest struct {
	payload []byte
	whole   bool
	batch   *quorum.Ready
	record  *quorum.Record
}

type result struct {
	writeRequest
	err error
}

func (in *session) now() float64 { return faultinjection.Now() }

// take runs the core until the service ends or its disk fails.
func (s *Service) take(run uint64) error {
	in := &session{Service: s, willing: s.block.Willing, writes: make(chan writeRequest, 1), results: make(chan result, 1)}
	kept, err := in.open()
	if err != nil {
		return err
	}
	defer in.closeConfig()
	configFacts, err := in.openConfig()
	if err != nil {
		in.close()
		return err
	}
	facts := node.Config{Self: members.Member{ID: s.self, Addr: s.block.Advertise, Willing: in.willing, Run: run}, Leases: s.wantedLeases(),
		LeaseTiming: lease.Timing{Duration: float64(s.block.Lease) / 1e6}, Membership: members.DefaultConfig(), NextDisk: draw(), Seed: int64(draw() >> 1),
		FleetConfig: configFacts}
	for id, addr := range s.block.Voters {
		facts.Founders = append(facts.Founders, id)
		facts.Seeds = append(facts.Seeds, members.Member{ID: id, Addr: addr})
	}
	slices.Sort(facts.Founders)
	slices.SortFunc(facts.Seeds, func(a, b members.Member) int {
		return int(slices.Index(facts.Founders, a.ID) - slices.Index(facts.Founders, b.ID))
	})
	if err = safely(func() (err error) {
		in.core, err = node.New(facts, kept, nil, in.now())
		return err
	}); err != nil {
		in.close()
		return err
	}
	standing, why := in.core.Quorum().Role()
	s.log.Info("fleet: taking part", "fleet", s.block.Name, "generation", s.block.Generation, "run", run, "quorum", standing.String(),
		"why", why)
	if s.stop.Load() {
		in.core.Stop(in.now())
	}
	err = safely(in.loop)
	in.lose()
	in.close()
	return err
}

// safely runs a part of the core. The consensus library panics where it finds itself broken, which it may be by a disk or a
// peer: that ends this controller's part in the fleet for a while, and must not end the serving of clients.
func safely(do func() error) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("the agreement finds itself broken: %v", x)
		}
	}()
	return do()
}

// open reads what is kept. A log that is damaged is as one that was lost: the quorum finds out what it had promised.
func (in *session) open() ([]quorum.Record, error) {
	log, recovered, err := records.Open(disk.Folder(in.block.Folder), records.DefaultBounds())
	if log == nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	in.kept = log
	if err != nil {
		in.Service.log.Error("fleet: what the quorum kept here can't be read: taking part as one that lost it", "why", err)
	}
	if recovered.TornTail {
		in.Service.log.Info("fleet: the last record was not written whole, and nothing was said on it")
	}
	list := make([]quorum.Record, 0, len(recovered.Records))
	for i, b := range recovered.Records {
		var r quorum.Record
		if err := recordForm.Unmarshal(b, &r); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
		if r.Full {
			list = list[:0]
		}
		list = append(list, r)
	}
	return list, nil
}

// recordForm reads what this controller wrote itself; a whole record may have thousands of entries.
var recordForm = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// close lets the folder go once the last write is over. A write that hangs is left to the system: the folder stays locked
// by this process, so nobody takes it meanwhile.
func (in *session) close() {
	close(in.writes)
	if in.saving {
		go func() {
			<-in.results
			in.kept.Close()
		}()
		return
	}
	in.kept.Close()
}

// save writes, one record after another, beside the core: a disk that hangs keeps the quorum's part from sending, and
// nothing else.
func (in *session) save() {
	for j := range in.writes {
		err := faultinjection.BeforeSave()
		switch {
		case err != nil:
		case j.whole:
			err = in.kept.Replace(j.payload)
		default:
			err = in.kept.Append(j.payload)
		}
		in.results <- result{j, err}
	}
}

func (in *session) loop() error {
	go in.save() // ends with jobs, or with the system's write
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-in.ctx.Done():
			return nil
		case do := <-in.inbox:
			do(in)
		case r := <-in.results:
			in.saving = false
			if r.err != nil {
				return fmt.Errorf("record not kept: %w", r.err)
			}
			in.counts.saves.Add(1)
			if r.record != nil {
				in.core.Compacted(in.now(), r.record)
			} else {
				in.core.Advance(in.now(), r.batch)
			}
		case check := <-in.config.checked:
			in.configChecked(check)
		case err := <-in.config.stored:
			in.configStored(err)
		case err := <-in.config.applied:
			in.configApplied(err)
		case <-timer.C:
			in.core.Tick(in.now())
		}
		if err := in.carryOut(); err != nil {
			return err
		}
		now := in.now()
		if now >= in.tickAt {
			in.tickAt = now + tickMost
			in.updateLeases()
			for _, p := range in.jobs {
				p.Tick(in, now)
			}
			in.observeConfig()
			if err := in.carryOut(); err != nil {
				return err
			}
		}
		next := min(in.core.Next(), in.tickAt)
		timer.Reset(time.Duration(max(0.5, next-now) * float64(time.Millisecond)))
	}
}

func (in *session) keep(j writeRequest, r *quorum.Record) error {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	j.payload, in.saving = payload, true
	in.writes <- j // there is one at a time, and room for it
	return nil
}

func (in *session) send(m node.Envelope) {
	payload, err := cbor.Marshal(m.Message)
	if err != nil {
		return
	}
	addr := m.Addr
	if addr == "" {
		addr = in.block.Voters[m.To]
	}
	in.links.Send(m.To, addr, payload)
}

// lose tells the jobs that this one holds nothing any more.
func (in *session) lose() {
	for _, c := range in.core.Held(in.now()) {
		for _, p := range in.jobs {
			p.Ended(c)
		}
	}
}

// What jobs may do.

// Self is this controller.
func (in *session) Self() members.ID { return in.Service.self }

// TryEffect does an effect of a lease, if this one holds it now.
func (in *session) TryEffect(w lease.Name, to members.ID, id uint64, data []byte) bool {
	return in.core.TryEffect(in.now(), w, to, id, data)
}

// SendMessage sends a message to another controller's job.
func (in *session) SendMessage(to members.ID, data []byte) { in.core.SendMessage(in.now(), to, data) }

// CanAct tells whether this one holds a lease now.
func (in *session) CanAct(w lease.Name) (lease.Token, bool) {
	e, _, ok := in.core.CanAct(in.now(), w)
	return e, ok
}

// Release has another one take a lease on.
func (in *session) Release(w lease.Name, failed bool) { in.core.Release(in.now(), w, failed) }

// ProposeState has a lease's state handed on.
func (in *session) ProposeState(w lease.Name, serial uint64, data []byte) bool {
	return in.core.ProposeState(in.now(), w, serial, data)
}

// RequestState asks for what was handed on.
func (in *session) RequestState(w lease.Name) bool { return in.core.RequestState(in.now(), w) }

// Members are those known.
func (in *session) Members() []members.Member { return in.core.Members() }

// Voters are the quorum's members, as far as this one knows.
func (in *session) Voters() []members.ID { return in.core.Voters() }

// Now is the steady clock.
func (in *session) Now() float64 { return in.now() }

// LogValue prints the counts.
func (s *Service) LogValue() slog.Value {
	c := &s.counts
	counts := []slog.Attr{slog.Any("links", s.links), slog.Int64("unread", c.unread.Load()), slog.Int64("full", c.full.Load()),
		slog.Int64("begun_anew", c.restarts.Load()), slog.Int64("kept", c.saves.Load()), slog.Int64("effects", c.effects.Load()),
		slog.Int64("turned_away", c.turned.Load())}
	if s.config != nil {
		counts = append(counts, slog.Attr{Key: "config", Value: s.config.logValue()})
	}
	return slog.GroupValue(counts...)
}
