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
	inboxSize         = 1024             // functions queued for the session's goroutine
	restartBackoff    = time.Second      // initial delay after a failed session
	maxRestartBackoff = 30 * time.Second // upper bound of the doubling backoff
	stableSession     = time.Minute      // a session that ran for longer resets the backoff
)

// Service is one controller's participation in a fleet. It runs from Start until Close. Its methods
// are safe for concurrent use.
type Service struct {
	block    Block
	self     members.ID
	log      *slog.Logger
	jobs     []job.Job
	links    *links.Links
	listener net.Listener
	control  net.Listener           // the operators' socket; nil if it could not be opened
	config   *configuration.Manager // nil without a config block
	client   *configuration.Client

	inbox  chan func(*session) // functions that the session's goroutine is to call
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	stop   atomic.Bool
	leases atomic.Pointer[[]lease.Name] // set by SetLeases; nil: the block's leases apply
	done   chan struct{}                // closed once the last session has ended

	counts counters
}

// counters are the counts that LogValue reports.
type counters struct {
	undecodable     atomic.Int64 // messages that could not be decoded
	inboxFull       atomic.Int64 // functions dropped because the inbox was full
	restarts        atomic.Int64 // failed sessions
	recordsWritten  atomic.Int64 // records made durable
	effectsAccepted atomic.Int64 // received effects that passed the fencing check here
	effectsRejected atomic.Int64 // effects of this controller that their receiver rejected
}

// Start starts the service; host is nil without a config block. It fails on errors that an operator
// has to fix: an invalid controller name, key file, listen address or folder.
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
			"fleet: the controller's name %.64q may contain only letters, digits, '.', '_' and '-'", self)
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
		log.Warn("fleet: operators' socket not opened", "why", err)
	}
	run := randomNonZero()
	s.connect(keys, run)
	if s.control != nil {
		s.group.Go(func() { control.Serve(s.ctx, s.control, s) })
	}
	go s.run(run)
	return s, nil
}

// newService returns a service that is not started.
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

// connect sets up the connections to other controllers and starts to accept incoming ones.
func (s *Service) connect(keys frames.Keys, run uint64) {
	hello := frames.Hello{Fleet: s.block.Name, Generation: s.block.Generation, From: s.self, Run: run}
	s.links = links.New(hello, keys, links.DefaultBounds(), s.receive, s.log)
	if s.block.Dial != nil {
		s.links.SetDial(s.block.Dial)
	}
	s.links.Serve(s.listener)
}

// randomNonZero returns a random 64-bit number other than 0, which identifies a run or a disk.
func randomNonZero() uint64 {
	var random [8]byte
	crand.Read(random[:]) // never fails
	return max(1, binary.BigEndian.Uint64(random[:]))
}

// receive decodes a message and posts it to the session. It is called by the goroutines of
// connections.
func (s *Service) receive(r links.Received) {
	var message node.Message
	if err := frames.Decoder.Unmarshal(r.Payload, &message); err != nil {
		s.counts.undecodable.Add(1)
		return
	}
	s.post(func(session *session) { session.core.Receive(session.Now(), r.From, &message) })
}

// SetKeys reloads the key file. On an error the current keys stay in use.
func (s *Service) SetKeys() error {
	keys, err := frames.ReadKeys(s.block.KeyFile)
	if err != nil {
		return err
	}
	s.links.SetKeys(keys)
	return nil
}

// SetWilling sets whether this controller accepts leases.
func (s *Service) SetWilling(willing bool) {
	s.post(func(session *session) { session.core.SetWilling(session.Now(), willing) })
}

// ConfigReadiness returns the version of the fleet's configuration that is in force here, and
// whether it is confirmed to be the latest.
func (s *Service) ConfigReadiness() config.Readiness { return s.config.Readiness() }

// WaitConfig waits until the version in force here is confirmed to be the latest, the context ends
// or the service closes, and returns the version in force. It returns at once without a config
// block.
func (s *Service) WaitConfig(ctx context.Context) config.Readiness {
	return s.config.Wait(ctx, s.done)
}

// Stop releases the leases that this controller holds and announces that it leaves the fleet. The
// service keeps answering until Close.
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

// run runs sessions until the service closes, and starts a new one after each failure. After a disk
// failure it is unknown which records are durable, so no message may depend on them: the new
// session reads the records that the disk has.
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

// discardInbox discards the functions in the inbox while no session runs, for the given duration.
// It returns false if the service closes before.
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

// LogValue returns the counts as log attributes.
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
