package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"mintkeel/internal/core/fleet/lease"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/fleet/maintenance"
)

var _ control.Handler = (*Service)(nil)

// MaxConfigBytes bounds a request about configuration.
func (s *Service) MaxConfigBytes() int64 {
	if s.config == nil {
		return 0
	}
	return configuration.MaxRequestBytes
}

// Handle does what an operator asks, and returns the state after it.
func (s *Service) Handle(r control.Request) (control.Status, error) {
	switch r.Action {
	case control.ActionMaintenance:
		return s.handleMaintenance(r.Maintenance)
	case control.ActionConfig:
		answer, err := s.client.Do(r.Config)
		return control.Status{Config: answer}, err
	}
	type outcome struct {
		status control.Status
		err    error
	}
	result, err := callSession(s, control.Timeout, func(session *session) outcome {
		err := session.executeRequest(r)
		return outcome{session.status(), err}
	})
	if err != nil {
		return control.Status{}, err
	}
	return result.status, result.err
}

// executeRequest does what an operator asks of the core.
func (s *session) executeRequest(r control.Request) error {
	switch r.Action {
	case control.ActionStatus:
		return nil
	case control.ActionHandOver:
		return s.handOver(lease.Name(r.Lease), members.ID(r.To))
	case control.ActionReplace:
		return s.replaceVoter(members.ID(r.Old), members.ID(r.To))
	case control.ActionTrust:
		return s.trustDisk()
	default:
		return fmt.Errorf("%.64q is not known", r.Action)
	}
}

// isMember reports whether this controller knows of a member.
func (s *session) isMember(id members.ID) bool {
	_, ok := s.core.Table().Lookup(id)
	return ok
}

// handOver has a lease go to another controller.
func (s *session) handOver(name lease.Name, to members.ID) error {
	grants, _ := s.core.Leases()
	found := false
	for _, grant := range grants {
		found = found || grant.Name == name && !grant.Retired
	}
	if !found {
		return fmt.Errorf("%.64q is no lease that this controller knows of", name)
	}
	if !s.isMember(to) {
		return fmt.Errorf("%.64q is no controller that this one knows of", to)
	}
	s.core.HandOver(s.Now(), name, to)
	return nil
}

// replaceVoter has a voter replaced; to is empty where the fleet may choose by which.
func (s *session) replaceVoter(old, to members.ID) error {
	if !s.isMember(old) || to != "" && !s.isMember(to) {
		return fmt.Errorf("%.64q or %.64q is no controller that this one knows of", old, to)
	}
	s.core.ReplaceVoter(s.Now(), old, to)
	return nil
}

// trustDisk has the quorum's records of this controller count, though they may not be all.
func (s *session) trustDisk() error {
	if !s.core.TrustDisk(s.Now()) {
		return errors.New("there is nothing to trust: " +
			"this controller is no voter whose folder is doubted")
	}
	s.log.Warn("fleet: the folder is trusted by an operator's command")
	return nil
}

// errMaintenanceTimeout means that the holder of the maintenance lease did not answer a request.
var errMaintenanceTimeout = errors.New(
	"who conducts maintenance did not answer in time: whether it was done is not known")

// maintenanceJob is what the service needs of the maintenance job, which is one of its jobs where
// this controller has it.
type maintenanceJob interface {
	job.Job
	// SendRequest forwards a request to the holder of the lease; the channel delivers the answer.
	SendRequest(
		c job.Context, holder members.ID, request maintenance.Request,
	) (chan maintenance.Status, error)
}

// handleMaintenance forwards an operator's request to the holder of the maintenance lease, and waits
// for the answer.
func (s *Service) handleMaintenance(request *maintenance.Request) (control.Status, error) {
	if request == nil {
		return control.Status{}, errors.New("nothing is asked for")
	}
	type sent struct {
		reply chan maintenance.Status
		err   error
	}
	result, err := callSession(s, control.Timeout, func(session *session) sent {
		reply, err := session.sendMaintenanceRequest(*request)
		return sent{reply, err}
	})
	err = cmp.Or(err, result.err)
	if err != nil {
		return control.Status{}, err
	}
	timer := time.NewTimer(control.Timeout)
	defer timer.Stop()
	select {
	case answer := <-result.reply:
		if answer.Error != "" {
			err = errors.New(answer.Error)
		}
		return control.Status{Maintenance: &answer}, err
	case <-timer.C:
		return control.Status{}, errMaintenanceTimeout
	case <-s.done:
		return control.Status{}, errShuttingDown
	}
}

// sendMaintenanceRequest has the maintenance job forward a request.
func (s *session) sendMaintenanceRequest(
	request maintenance.Request,
) (chan maintenance.Status, error) {
	for _, j := range s.jobs {
		if sender, ok := j.(maintenanceJob); ok {
			return sender.SendRequest(s, s.holder(maintenance.Lease), request)
		}
	}
	return nil, errors.New("there is no block maintenance in this controller's file")
}

// holder is the holder of a lease, as far as this controller knows; empty: none.
func (s *session) holder(name lease.Name) (holder members.ID) {
	grants, _ := s.core.Leases()
	for _, grant := range grants {
		if grant.Name == name {
			holder = grant.Holder.ID
		}
	}
	return holder
}
