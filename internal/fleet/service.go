package fleet

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/fleet/links"
	"mintkeel/internal/store/disk"
)

const (
	inboxSize         = 1024             // functions that wait for the session's goroutine
	restartBackoff    = time.Second      // until the next session after one that failed
	maxRestartBackoff = 30 * time.Second // to which the backoff doubles
	stableSession     = time.Minute      // after which the backoff begins anew
)

// Service is one controller's part in a fleet. It runs from Start until Close. Its methods may be
// called by any goroutine.
type Service struct {
	block    Block
	self     members.ID
	log      *slog.Logger
	jobs     []job.Job
	links    *links.Links
	listener net.Listener
	control  net.Listener           // nil: there is no socket for operators
	config   *configuration.Manager // nil: no block config
	client   *configuration.Client

	inbox  chan func(*session) // what others have the session's goroutine do
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	stop   atomic.Bool
	leases atomic.Pointer[[]lease.Name] // nil: those of the block
	done   chan struct{}                // closed when no session runs any more

	counts counters
}

// counters are what the log reports of the service.
type counters struct {
	undecodable     atomic.Int64 // messages that can't be decoded
	inboxFull       atomic.Int64 // functions dropped as the inbox was full
	restarts        atomic.Int64 // sessions that failed
	recordsWritten  atomic.Int64 // records made durable
	effectsAccepted atomic.Int64 // effectsAccepted of other controllers that passed the fencing check
	effectsRejected atomic.Int64 // effects of this controller that did not pass it
}

// Start begins to take part; host is nil without a block config. It fails on what an operator has
// to mend: the file of keys, the address, the folder.
func Start(
	b *Block, self string, jobs []job.Job, host *configuration.Host, log *slog.Logger,
) (*Service, error) {
	return start(b, self, jobs, configuration.NewFolderManager(host, b.Folder), log)
}

func start(
	b *Block, self string, jobs []job.Job, manager *configuration.Manager, log *slog.Logger,
) (*Service, error) {
	keys, err := frames.ReadKeys(b.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("fleet: key_file: %w", err)
	}
	if !namePattern.MatchString(self) {
		return nil, fmt.Errorf(
			"fleet: the controller's name %.64q holds other than letters, digits, '.', '_' and '-'", self)
	}
	if err := disk.Folder(b.Folder).Make(); err != nil {
		return nil, fmt.Errorf("fleet: folder: %w", err)
	}
	listener, err := net.Listen("tcp", b.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: listen: %w", err)
	}
	s := newService(b, members.ID(self), jobs, manager, log)
	s.listener = listener
	s.control, err = control.Listen(b.Folder)
	if err != nil {
		log.Warn("fleet: no socket for operators", "why", err)
	}
	run := randomNonZero()
	s.connect(keys, run)
	if s.control != nil {
		s.group.Go(func() { control.Serve(s.ctx, s.control, s) })
	}
	go s.run(run)
	return s, nil
}

// newService returns a service that does nothing yet.
func newService(
	b *Block, self members.ID, jobs []job.Job, manager *configuration.Manager, log *slog.Logger,
) *Service {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Service{
		block:  *b,
		self:   self,
		log:    log,
		jobs:   append(slices.Clone(jobs), faultinjection.Jobs(b.Folder)...),
		config: manager,
		inbox:  make(chan func(*session), inboxSize),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	s.client = configuration.NewClient(manager, configExecutor{s})
	return s
}

// connect begins to accept and open connections to other controllers.
func (s *Service) connect(keys frames.Keys, run uint64) {
	hello := frames.Hello{Fleet: s.block.Name, Generation: s.block.Generation, From: s.self, Run: run}
	s.links = links.New(hello, keys, links.DefaultBounds(), s.receive, s.log)
	if s.block.Dial != nil {
		s.links.SetDial(s.block.Dial)
	}
	s.links.Serve(s.listener)
}

// randomNonZero draws a number that no other run of a controller has drawn.
func randomNonZero() uint64 {
	var random [8]byte
	crand.Read(random[:]) // never fails
	return max(1, binary.BigEndian.Uint64(random[:]))
}

// receive takes in a message, by a connection's goroutine.
func (s *Service) receive(r links.Received) {
	var message node.Message
	if err := frames.Decoder.Unmarshal(r.Payload, &message); err != nil {
		s.counts.undecodable.Add(1)
		return
	}
	s.post(func(session *session) { session.core.Receive(session.Now(), r.From, &message) })
}

// SetKeys reads the file of keys again. After an error the keys stay.
func (s *Service) SetKeys() error {
	keys, err := frames.ReadKeys(s.block.KeyFile)
	if err != nil {
		return err
	}
	s.links.SetKeys(keys)
	return nil
}

// SetWilling sets whether this controller takes on leases.
func (s *Service) SetWilling(willing bool) {
	s.post(func(session *session) { session.core.SetWilling(session.Now(), willing) })
}

// ConfigReadiness returns which version of the fleet's configuration is in force here, and whether
// it is known to be the latest.
func (s *Service) ConfigReadiness() config.Readiness { return s.config.Readiness() }

// WaitConfig waits until the latest version is known to be in force here, or the context ends, and
// returns which is. Without a block config it returns at once.
func (s *Service) WaitConfig(ctx context.Context) config.Readiness {
	return s.config.Wait(ctx, s.done)
}

// Stop gives up the leases that this controller holds and says that it leaves. It goes on answering
// until Close.
func (s *Service) Stop() {
	s.stop.Store(true)
	s.post(func(session *session) { session.core.Stop(session.Now()) })
}

// Close ends all goroutines and waits for them, but not for a disk that hangs.
func (s *Service) Close() {
	s.cancel()
	<-s.done
	s.links.Close()
	if s.control != nil {
		s.control.Close()
	}
	s.group.Wait()
	s.config.Close()
	for _, j := range s.jobs {
		j.Close()
	}
}

// run takes part, and begins a new session when one ends by a failure. After a failure of the disk
// it is not known which records are durable, so nothing may be promised on them: the new session
// reads what the disk has.
func (s *Service) run(run uint64) {
	defer close(s.done)
	backoff := restartBackoff
	for s.ctx.Err() == nil {
		began := time.Now()
		err := s.runSession(run)
		if s.ctx.Err() != nil {
			return
		}
		s.counts.restarts.Add(1)
		if time.Since(began) > stableSession {
			backoff = restartBackoff
		}
		s.log.Error("fleet: not taking part for a while", "why", err, "again_in", backoff)
		if !s.discardInbox(backoff) {
			return
		}
		backoff = min(2*backoff, maxRestartBackoff)
		run = randomNonZero()
	}
}

// discardInbox empties the inbox without effect for a time, as no session runs. It is false if the
// service ends.
func (s *Service) discardInbox(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return true
		case <-s.ctx.Done():
			return false
		case <-s.inbox:
		}
	}
}

// LogValue prints the counts.
func (s *Service) LogValue() slog.Value {
	counts := []slog.Attr{
		slog.Any("links", s.links),
		slog.Int64("unread", s.counts.undecodable.Load()),
		slog.Int64("full", s.counts.inboxFull.Load()),
		slog.Int64("begun_anew", s.counts.restarts.Load()),
		slog.Int64("kept", s.counts.recordsWritten.Load()),
		slog.Int64("effects", s.counts.effectsAccepted.Load()),
		slog.Int64("turned_away", s.counts.effectsRejected.Load()),
	}
	if s.config != nil {
		counts = append(counts, slog.Attr{Key: "config", Value: s.config.LogValue()})
	}
	return slog.GroupValue(counts...)
}
