package fleet

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/quorum"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/fleet/maintenance"
)

// Operators speak to a controller by a socket in its folder: one request, one answer, both a line of JSON. Whoever may
// open the folder may do so; it is made for its owner alone.

const (
	controlName  = "control.sock"
	controlTime  = 3 * time.Second
	controlBytes = 64 << 10
	mostControl  = 8 // connections at once
)

// Request is what an operator asks.
type Request struct {
	Action string `json:"do"` // "status", "handover", "replace", "trust", "maintenance" or "config"
	Lease  string `json:"work,omitempty"`
	To     string `json:"to,omitempty"`
	Old    string `json:"old,omitempty"`

	Maintenance *maintenance.Request `json:"maintenance,omitempty"`
	Config      *ConfigOrder         `json:"config,omitempty"`
}

// Status is what a controller knows of its fleet. What it can't know it does not tell as known: Members are what it
// believes, and Leases are what the quorum agreed on only if Own is set: else they may be late. The names in JSON are in service.
type Status struct {
	Fleet      string         `json:"fleet"`
	Generation uint64         `json:"generation"`
	Self       string         `json:"self"`
	Slow       int            `json:"slow"`
	Members    []MemberStatus `json:"members"`
	Leases     []LeaseStatus  `json:"works"`
	Own        bool           `json:"own"`
	Holds      []string       `json:"holds"`
	Quorum     QuorumStatus   `json:"council"`
	Error      string         `json:"error,omitempty"`

	Maintenance *maintenance.Status `json:"maintenance,omitempty"`
	Config      *ConfigAnswer       `json:"config,omitempty"`
}

// MemberStatus is one member, as this controller believes it to be.
type MemberStatus struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	Willing     bool   `json:"willing"`
	Run         string `json:"run"`
}

// LeaseStatus is one lease.
type LeaseStatus struct {
	Lease     string `json:"work"`
	Token     uint64 `json:"epoch"`
	Holder    string `json:"owner"`
	Run       string `json:"run,omitempty"`
	Preferred string `json:"wanted,omitempty"`
}

// QuorumStatus is the quorum, as this controller knows it.
type QuorumStatus struct {
	Role    string              `json:"standing"`
	Reason  string              `json:"why,omitempty"`
	Leader  string              `json:"leader"`
	Term    uint64              `json:"term"`
	Record  uint64              `json:"record"`
	Members []IncarnationStatus `json:"members"`
}

// IncarnationStatus is a member of the quorum with its disk.
type IncarnationStatus struct {
	Name  string `json:"name"`
	Disk  string `json:"disk"`
	Votes bool   `json:"votes"`
}

func listenControl(folder string) (net.Listener, error) {
	path := filepath.Join(folder, controlName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) { // an earlier process left it
		return nil, err
	}
	return net.Listen("unix", path)
}

func (s *Service) answerOperators() {
	room := make(chan struct{}, mostControl)
	for {
		conn, err := s.control.Accept()
		if err != nil {
			return
		}
		select {
		case room <- struct{}{}:
			s.group.Go(func() {
				defer func() { <-room }()
				defer conn.Close()
				defer context.AfterFunc(s.ctx, func() { conn.Close() })()
				s.answer(conn)
			})
		default:
			conn.Close()
		}
	}
}

func (s *Service) answer(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(2 * controlTime))
	line, err := bufio.NewReader(io.LimitReader(conn, s.requestBytes())).ReadBytes('\n')
	tooLong := errors.Is(err, io.EOF) && int64(len(line)) == s.requestBytes()
	if err != nil && !tooLong {
		return
	}
	var reply Status
	r, err := s.readRequest(line, tooLong)
	if err == nil {
		conn.SetDeadline(time.Now().Add(r.longest() + 2*controlTime))
		reply, err = s.Ask(r)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	json.NewEncoder(conn).Encode(reply)
}

// requestBytes bounds the line of a request.
func (s *Service) requestBytes() int64 {
	if s.config == nil {
		return controlBytes
	}
	return configRequestBytes
}

// readRequest reads the line of a request. Only one about the fleet's configuration may be long.
func (s *Service) readRequest(line []byte, tooLong bool) (r Request, err error) {
	if tooLong {
		return r, errTooLong
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return r, fmt.Errorf("the request can't be read: %w", err)
	}
	if r.Action != "config" && len(line) > controlBytes {
		return r, errTooLong
	}
	return r, nil
}

var errTooLong = errors.New("the request is too long")

// longest is how long a request takes at most.
func (r *Request) longest() time.Duration {
	if r.Action == "config" && r.Config != nil {
		return r.Config.longest() + controlTime
	}
	return controlTime
}

// Ask does what an operator asks, and tells how things stand after it.
func (s *Service) Ask(r Request) (Status, error) {
	if r.Action == "maintenance" {
		return s.askConductor(r.Maintenance)
	}
	if r.Action == "config" {
		return s.askConfig(r.Config)
	}
	type outcome struct {
		status Status
		err    error
	}
	found, err := ask(s, controlTime, func(in *session) outcome {
		err := in.ordered(r)
		return outcome{in.describe(), err}
	})
	if err != nil {
		return Status{}, err
	}
	return found.status, found.err
}

// maintenanceJob is what the service needs of the maintenance job, which is one of its jobs where this controller has it.
type maintenanceJob interface {
	job.Job
	// SendRequest passes a request on to the holder of the lease; the answer comes on the returned channel.
	SendRequest(c job.Context, holder members.ID, request maintenance.Request) (chan maintenance.Status, error)
}

// askConductor passes an operator's request on to the holder of the maintenance lease, and waits for the answer.
func (s *Service) askConductor(o *maintenance.Request) (Status, error) {
	if o == nil {
		return Status{}, errors.New("nothing is asked for")
	}
	type sent struct {
		reply chan maintenance.Status
		err   error
	}
	found, err := ask(s, controlTime, func(in *session) sent {
		for _, p := range in.jobs {
			if c, ok := p.(maintenanceJob); ok {
				holder := members.ID("")
				grants, _ := in.core.Leases()
				for _, g := range grants {
					if g.Name == maintenance.Lease {
						holder = g.Holder.ID
					}
				}
				reply, err := c.SendRequest(in, holder, *o)
				return sent{reply, err}
			}
		}
		return sent{nil, errors.New("there is no block maintenance in this controller's file")}
	})
	if err = cmp.Or(err, found.err); err != nil {
		return Status{}, err
	}
	timer := time.NewTimer(controlTime)
	defer timer.Stop()
	select {
	case m := <-found.reply:
		if m.Error != "" {
			err = errors.New(m.Error)
		}
		return Status{Maintenance: &m}, err
	case <-timer.C:
		return Status{}, errors.New("who conducts maintenance did not answer in time: whether it was done is not known")
	case <-s.done:
		return Status{}, errEnded
	}
}

func (in *session) ordered(r Request) error {
	known := func(name string) bool {
		_, ok := in.core.Table().Lookup(members.ID(name))
		return ok
	}
	switch r.Action {
	case "status":
	case "handover":
		grants, _ := in.core.Leases()
		found := false
		for _, g := range grants {
			found = found || g.Name == lease.Name(r.Lease) && !g.Retired
		}
		if !found {
			return fmt.Errorf("%.64q is no lease that this controller knows of", r.Lease)
		}
		if !known(r.To) {
			return fmt.Errorf("%.64q is no controller that this one knows of", r.To)
		}
		in.core.HandOver(in.now(), lease.Name(r.Lease), members.ID(r.To))
	case "replace":
		if !known(r.Old) || r.To != "" && !known(r.To) {
			return fmt.Errorf("%.64q or %.64q is no controller that this one knows of", r.Old, r.To)
		}
		in.core.ReplaceVoter(in.now(), members.ID(r.Old), members.ID(r.To))
	case "trust":
		if !in.core.TrustDisk(in.now()) {
			return errors.New("there is nothing to trust: this controller is no voter whose folder is doubted")
		}
		in.Service.log.Warn("fleet: the folder is trusted by an operator's command")
	default:
		return fmt.Errorf("%.64q is not known", r.Action)
	}
	return nil
}

func (in *session) describe() Status {
	c := in.core.Quorum()
	standing, why := c.Role()
	s := Status{Fleet: in.block.Name, Generation: in.block.Generation, Self: string(in.self), Slow: in.core.Table().HealthScore(),
		Members: []MemberStatus{}, Leases: []LeaseStatus{}, Holds: []string{},
		Quorum: QuorumStatus{Role: standing.String(), Reason: why, Leader: string(in.core.Leader()), Term: c.Term(),
			Record: c.Serial(), Members: []IncarnationStatus{}}}
	for _, m := range in.core.Members() {
		s.Members = append(s.Members, MemberStatus{string(m.ID), m.Addr, m.State.String(), uint64(m.Incarnation), m.Willing,
			fmt.Sprintf("%x", m.Run)})
	}
	grants, own := in.core.Leases()
	s.Own = own
	for _, g := range grants {
		if !g.Retired {
			w := LeaseStatus{Lease: string(g.Name), Token: uint64(g.Token), Holder: string(g.Holder.ID), Preferred: string(g.Preferred)}
			if g.Held() {
				w.Run = fmt.Sprintf("%x", g.Holder.Run)
			}
			s.Leases = append(s.Leases, w)
		}
	}
	for _, h := range in.core.Held(in.now()) {
		s.Holds = append(s.Holds, string(h.Name))
	}
	if standing != quorum.NonMember {
		lives, votes := c.Members()
		for i, l := range lives {
			s.Quorum.Members = append(s.Quorum.Members, IncarnationStatus{string(l.Name), fmt.Sprintf("%x", l.Disk), votes[i]})
		}
	}
	return s
}

// Call asks the controller whose folder this is.
func Call(ctx context.Context, folder string, r Request) (Status, error) {
	if r.Config != nil && len(r.Config.Document) > config.MaxDocument {
		return Status{Config: &ConfigAnswer{Result: ConfigRefused, Reason: tooBig(len(r.Config.Document))}}, nil
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "unix", filepath.Join(folder, controlName))
	if err != nil {
		return Status{}, fmt.Errorf("no controller answers in %s: %w", folder, err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(r.longest() + 3*controlTime))
	if err := json.NewEncoder(conn).Encode(r); err != nil {
		return Status{}, err
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(conn, 16<<20)).Decode(&s); err != nil {
		return Status{}, fmt.Errorf("answer of the controller: %w", err)
	}
	if s.Error != "" {
		return s, errors.New(s.Error)
	}
	return s, nil
}
