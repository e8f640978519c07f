package hollow

import (
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync/atomic"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/fleet/sharedstatistics"
)

// controller is one hollow controller.
type controller struct {
	number  int
	service *fleet.Service
	probe   *probe
	dialer  *dialer
	host    *host
	errors  *errorLog
	peak    atomic.Int64 // highest number of connections in; sampled at voters only
}

// keyFile is the name of the fleet's key file in the fleet's folder.
const keyFile = "key"

const fleetName = "hollow"

func (s Spec) block(folder string, number int, dial *dialer) *fleet.Block {
	addr := s.Network.address(number).String()
	b := &fleet.Block{Name: fleetName, Generation: 1, Listen: addr, Advertise: addr, KeyFile: filepath.Join(folder, keyFile),
		Folder: filepath.Join(folder, string(name(number))), Voters: map[members.ID]string{}, Leases: s.leases(),
		Lease: s.LeaseTime, Willing: s.willing(number), Dial: dial.dial}
	for voter := range s.Voters {
		b.Voters[name(voter)] = s.Network.address(voter).String()
	}
	if s.Digest {
		b.Leases = append(b.Leases, sharedstatistics.Lease)
	}
	return b
}

// start starts a controller. Its connections are also counted in peers, indexed by acceptor.
func start(s Spec, folder string, number, expect int, peers []flowCounter, p *partitions) (*controller, error) {
	c := &controller{number: number, probe: &probe{expect: expect}, host: &host{}, errors: &errorLog{}}
	c.dialer = newDialer(number, s.Network, peers, p)
	c.dialer.loss = loss(s.Loss)
	log := slog.New(c.errors)
	jobs := []job.Job{c.probe}
	if s.Digest {
		learner := sharedstatistics.Host{Source: statistics{s.Engines, s.TableGroups}, Settings: 1, Log: log}
		jobs = append(jobs, sharedstatistics.NewJob(learner))
	}
	var configHost *configuration.Host
	if s.Configured {
		configHost = c.host.host()
	}
	var err error
	c.service, err = fleet.Start(s.block(folder, number, c.dialer), string(name(number)), jobs, configHost, log)
	if err != nil {
		return nil, fmt.Errorf("n%d: %w", number, err)
	}
	return c, nil
}

// QuorumView is the state of the quorum as seen by a voter.
type QuorumView struct {
	Number int    `json:"number"`
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	Votes  bool   `json:"votes"` // it takes part in the quorum
}

func (c *controller) quorumView() (QuorumView, error) {
	status, err := c.service.Handle(control.Request{Action: "status"})
	if err != nil {
		return QuorumView{}, fmt.Errorf("n%d: %w", c.number, err)
	}
	return QuorumView{c.number, status.Quorum.Leader, status.Quorum.Term, status.Quorum.Role == "voting"}, nil
}

// counters returns the service's counts by their dotted names, such as "links.refused".
func (c *controller) counters() map[string]int64 {
	into := map[string]int64{}
	collect(into, "", slog.AnyValue(c.service))
	return into
}

func collect(into map[string]int64, prefix string, value slog.Value) {
	value = value.Resolve()
	switch value.Kind() {
	case slog.KindInt64:
		into[strings.TrimSuffix(prefix, ".")] = value.Int64()
	case slog.KindGroup:
		for _, attr := range value.Group() {
			collect(into, prefix+attr.Key+".", attr.Value)
		}
	}
}

// errorLog counts the errors that a controller logs and keeps the first one. It drops all other records.
type errorLog struct {
	count atomic.Int64
	first atomic.Pointer[string]
}

// Enabled implements slog.Handler.
func (l *errorLog) Enabled(_ context.Context, level slog.Level) bool { return level >= slog.LevelError }

// Handle implements slog.Handler.
func (l *errorLog) Handle(ctx context.Context, record slog.Record) error {
	l.count.Add(1)
	var text strings.Builder
	err := slog.NewTextHandler(&text, nil).Handle(ctx, record)
	line := text.String()
	l.first.CompareAndSwap(nil, &line)
	return err
}

// WithAttrs implements slog.Handler; attributes are dropped.
func (l *errorLog) WithAttrs([]slog.Attr) slog.Handler { return l }

// WithGroup implements slog.Handler.
func (l *errorLog) WithGroup(string) slog.Handler { return l }
