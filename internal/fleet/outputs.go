package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
)

// maxOutputRounds bounds how often one turn of the loop processes the core's outputs, as processing
// them may produce more.
const maxOutputRounds = 8

// processOutputs carries out the core's outputs.
func (s *session) processOutputs() error {
	for range maxOutputRounds {
		out := s.core.Take()
		for _, envelope := range out.Messages {
			s.send(envelope)
		}
		s.notifyLeases(out)
		s.logMembers(out.Changes)
		s.notifyJobs(out)
		s.config.HandleOutput(out.Config)
		advanced, err := s.persist(out)
		if err != nil {
			return err
		}
		notifications := len(out.Began) + len(out.Ended) + len(out.Effects) +
			len(out.JobMessages) + len(out.Checkpoints)
		if notifications == 0 && !advanced {
			break
		}
	}
	return nil
}

// send sends a message of the core, to the block's address of a voter until the core knows one.
func (s *session) send(envelope node.Envelope) {
	payload, err := cbor.Marshal(envelope.Message)
	if err != nil {
		return
	}
	addr := envelope.Addr
	if addr == "" {
		addr = s.block.Voters[envelope.To]
	}
	s.links.Send(envelope.To, addr, payload)
}

// notifyLeases notifies the jobs of leases that this controller acquired or lost.
func (s *session) notifyLeases(out node.Output) {
	for _, grant := range out.Began {
		s.log.Info("fleet: lease acquired", "lease", string(grant.Name), "token", uint64(grant.Token))
		for _, j := range s.jobs {
			j.LeaseAcquired(s, grant)
		}
	}
	for _, grant := range out.Ended {
		s.log.Info("fleet: lease ended", "lease", string(grant.Name), "token", uint64(grant.Token))
		for _, j := range s.jobs {
			j.LeaseLost(grant)
		}
	}
}

// logMembers logs members that are new or changed their state.
func (s *session) logMembers(changes []members.Change) {
	for _, change := range changes {
		if change.Member.State != change.Previous || change.New {
			s.log.Info("fleet: member", "id", string(change.Member.ID), "is", change.Member.State.String(),
				"was", change.Previous.String(), "new", change.New)
		}
	}
}

// notifyJobs delivers effects, responses, messages and checkpoints to the jobs. Only the first job
// that accepts a message gets it.
func (s *session) notifyJobs(out node.Output) {
	for _, received := range out.Effects {
		s.counts.effectsAccepted.Add(1)
		for _, j := range s.jobs {
			j.EffectReceived(s, received.From, received.Effect)
		}
	}
	for _, response := range out.EffectResponses {
		if !response.Accepted {
			s.counts.effectsRejected.Add(1)
		}
		for _, j := range s.jobs {
			j.EffectResponseReceived(response)
		}
	}
	for _, message := range out.JobMessages {
		for _, j := range s.jobs {
			if j.MessageReceived(s, message.From, message.Data) {
				break
			}
		}
	}
	for _, checkpoint := range out.Checkpoints {
		for _, j := range s.jobs {
			j.StateReceived(s, checkpoint)
		}
	}
}

// persist starts writing the quorum's next record outside the loop. A batch without a record is
// advanced at once; advanced is then true, as the core may have more outputs.
func (s *session) persist(out node.Output) (advanced bool, err error) {
	switch {
	case out.Compaction != nil:
		return false, s.storage.begin(writeRequest{replace: true, compaction: out.Compaction},
			out.Compaction)
	case out.Ready != nil && out.Ready.Record != nil:
		record := out.Ready.Record
		return false, s.storage.begin(writeRequest{replace: record.Full, batch: out.Ready}, record)
	case out.Ready != nil:
		s.core.Advance(s.Now(), out.Ready)
		return true, nil
	}
	return false, nil
}
