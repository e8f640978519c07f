package fleet

import (
	"fmt"
	"slices"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/faultinjection"
	"mintkeel/internal/store/disk"
)

const (
	tickInterval = 100.0 // ms between ticks of the jobs and the configuration
	minWait      = 0.5   // ms, shortest timer wait of the loop
)

// session is one run of the core. The goroutine of Service.run owns it.
type session struct {
	*Service
	core          *node.Node
	storage       *storage
	config        *configuration.Session // nil without a config block
	appliedLeases *[]lease.Name          // last passed to the core; nil: the block's leases
	nextTick      float64                // ms, when the next tick is due
}

// runSession runs the core until the service closes, or until the disk or the core fails.
func (s *Service) runSession(run uint64) error {
	session := &session{Service: s}
	defer func() { session.config.Close() }()
	storage, records, err := openStorage(disk.Folder(s.block.Folder), s.log)
	if err != nil {
		return err
	}
	defer storage.close()
	session.storage = storage
	var stored *node.FleetConfig
	session.config, stored, err = s.config.OpenSession(s.ctx, configuration.Environment{
		Generation:  s.block.Generation,
		FleetFolder: disk.Folder(s.block.Folder),
		Now:         session.Now,
		Log:         s.log,
	})
	if err != nil {
		return err
	}
	coreConfig := s.coreConfig(run) // after OpenSession, which may apply a version that sets leases
	coreConfig.FleetConfig = stored
	err = safely(func() (err error) {
		session.core, err = node.New(coreConfig, records, nil, session.Now())
		return err
	})
	if err != nil {
		return err
	}
	session.config.Start(session.core)
	role, reason := session.core.Quorum().Role()
	s.log.Info("fleet: session started", "fleet", s.block.Name, "generation", s.block.Generation,
		"run", run, "quorum", role.String(), "why", reason)
	if s.stop.Load() {
		session.core.Stop(session.Now())
	}
	err = safely(session.loop)
	session.notifyLeasesLost()
	return err
}

// coreConfig returns the settings of a core, except for the fleet's configuration. The founders are
// the voters of the block, in the same order at each controller.
func (s *Service) coreConfig(run uint64) node.Config {
	config := node.Config{
		Self: members.Member{
			ID:      s.self,
			Addr:    s.block.Advertise,
			Willing: s.block.Willing,
			Run:     run,
		},
		Leases:      s.wantedLeases(),
		LeaseTiming: lease.Timing{Duration: float64(s.block.Lease) / float64(time.Millisecond)},
		Membership:  members.DefaultConfig(),
		NextDisk:    randomNonZero(),
		Seed:        int64(randomNonZero() >> 1),
	}
	for id := range s.block.Voters {
		config.Founders = append(config.Founders, id)
	}
	slices.Sort(config.Founders)
	for _, id := range config.Founders {
		config.Seeds = append(config.Seeds, members.Member{ID: id, Addr: s.block.Voters[id]})
	}
	return config
}

// safely calls a function of the core and turns a panic into an error. The consensus library panics
// on an inconsistent state, which a disk or a peer can cause. That must end only the session, so
// that the daemon goes on serving clients.
func safely(f func() error) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("panic in the fleet's core: %v", recovered)
		}
	}()
	return f()
}

// loop passes one event after another to the core and processes the outputs of each.
func (s *session) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case f := <-s.inbox:
			f(s)
		case result := <-s.storage.results:
			if err := s.writeCompleted(result); err != nil {
				return err
			}
		case check := <-s.config.Checked():
			s.config.CheckEnded(check)
		case err := <-s.config.Stored():
			s.config.StoreEnded(err)
		case err := <-s.config.Applied():
			s.config.ApplyEnded(err)
		case <-timer.C:
			s.core.Tick(s.Now())
		}
		if err := s.processOutputs(); err != nil {
			return err
		}
		now := s.Now()
		if now >= s.nextTick {
			s.nextTick = now + tickInterval
			if err := s.tick(now); err != nil {
				return err
			}
		}
		wait := max(minWait, min(s.core.Next(), s.nextTick)-now)
		timer.Reset(time.Duration(wait * float64(time.Millisecond)))
	}
}

// tick runs the periodic work: changed leases, the jobs' ticks and the configuration's.
func (s *session) tick(now float64) error {
	s.updateLeases()
	for _, j := range s.jobs {
		j.Tick(s, now)
	}
	s.config.Observe()
	return s.processOutputs()
}

// writeCompleted advances the core after a record became durable. It returns an error, which ends
// the session, if the record could not be written.
func (s *session) writeCompleted(result writeResult) error {
	s.storage.writing = false
	if result.err != nil {
		return fmt.Errorf("record not kept: %w", result.err)
	}
	s.counts.recordsWritten.Add(1)
	if result.compaction != nil {
		s.core.Compacted(s.Now(), result.compaction)
	} else {
		s.core.Advance(s.Now(), result.batch)
	}
	return nil
}

// notifyLeasesLost notifies the jobs at the end of a session that the held leases are lost.
func (s *session) notifyLeasesLost() {
	for _, grant := range s.core.Held(s.Now()) {
		for _, j := range s.jobs {
			j.LeaseLost(grant)
		}
	}
}

// Now returns the monotonic clock in ms.
func (s *session) Now() float64 { return faultinjection.Now() }
