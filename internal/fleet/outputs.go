package fleet

import (
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
)

// mostOutputs bounds how often the core's outputs are carried out in one turn of the loop: carrying one out may lead to
// another.
const mostOutputs = 8

// carryOut does what the core asks for.
func (in *session) carryOut() error {
	for range mostOutputs {
		out := in.core.Take()
		for _, m := range out.Messages {
			in.send(m)
		}
		in.tellLeases(out)
		in.logMembers(out.Changes)
		in.tellJobs(out)
		in.carryOutConfig(out.Config)
		persisted, err := in.persist(out)
		if err != nil {
			return err
		}
		told := len(out.Began)+len(out.Ended)+len(out.Effects)+len(out.JobMessages)+len(out.Checkpoints) > 0
		if !told && !persisted {
			break
		}
	}
	return nil
}

// tellLeases tells the jobs which leases this controller came to hold, and which it holds no more.
func (in *session) tellLeases(out node.Output) {
	for _, c := range out.Began {
		in.Service.log.Info("fleet: holds a lease", "lease", string(c.Name), "token", uint64(c.Token))
		for _, p := range in.jobs {
			p.Began(in, c)
		}
	}
	for _, c := range out.Ended {
		in.Service.log.Info("fleet: lease ended", "lease", string(c.Name), "token", uint64(c.Token))
		for _, p := range in.jobs {
			p.Ended(c)
		}
	}
}

// logMembers logs members that are new, or of which another state is believed now.
func (in *session) logMembers(changes []members.Change) {
	for _, c := range changes {
		if c.Member.State != c.Previous || c.New {
			in.Service.log.Info("fleet: member", "id", string(c.Member.ID), "is", c.Member.State.String(), "was", c.Previous.String(),
				"new", c.New)
		}
	}
}

// tellJobs hands the jobs what came for them.
func (in *session) tellJobs(out node.Output) {
	for _, t := range out.Effects {
		in.counts.effects.Add(1)
		for _, p := range in.jobs {
			p.EffectReceived(in, t.From, t.Effect)
		}
	}
	for _, r := range out.EffectResponses {
		if !r.Accepted {
			in.counts.turned.Add(1)
		}
		for _, p := range in.jobs {
			p.VerdictReceived(r)
		}
	}
	for _, m := range out.JobMessages {
		for _, p := range in.jobs {
			if p.MessageReceived(in, m.From, m.Data) {
				break
			}
		}
	}
	for _, s := range out.Checkpoints {
		for _, p := range in.jobs {
			p.StateReceived(in, s)
		}
	}
}

// persist has the quorum's next record written beside the loop. Where there is none to be written the batch is over at
// once, which again tells.
func (in *session) persist(out node.Output) (again bool, err error) {
	switch {
	case out.Compaction != nil:
		return false, in.keep(writeRequest{whole: true, record: out.Compaction}, out.Compaction)
	case out.Ready != nil && out.Ready.Record != nil:
		return false, in.keep(writeRequest{whole: out.Ready.Record.Full, batch: out.Ready}, out.Ready.Record)
	case out.Ready != nil:
		in.core.Advance(in.now(), out.Ready)
		return true, nil
	}
	return false, nil
}
