package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
)

// pendingRequest is a request that waits for the holder's next step.
type pendingRequest struct {
	from members.ID // the controller that the operator asked
	ref  uint64     // number that this controller gave the request
	Request
}

// requestRun is a request that is being carried out: the state that it would have agreed on, and
// its answer.
type requestRun struct {
	state   agreedState
	changed bool // the state is to be agreed on
	status  Status
}

// ErrNoHolder means that no controller holds the maintenance lease, as far as this one knows.
var ErrNoHolder = errors.New("nobody conducts maintenance now, as far as this controller knows")

// Durations in ms that plans are checked with, of steps that end when the installation is ready.
const (
	expectedDrainTime = 10000.0
	expectedWarmTime  = 30000.0
)

// SendRequest passes an operator's request on to the holder of the lease. The answer comes on the
// returned channel, which has room for it, or is lost: the caller waits for a bounded time. The
// error is ErrNoHolder where there is none.
func (j *Job) SendRequest(
	jobContext job.Context, holder members.ID, request Request,
) (chan Status, error) {
	if holder == "" {
		return nil, ErrNoHolder
	}
	data, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	if len(j.replies) >= maxPendingRequests {
		clear(j.replies) // their callers have given up: there are never as many at once
	}
	j.lastRequest++
	reply := make(chan Status, 1)
	j.replies[j.lastRequest] = reply
	sendMessage(jobContext, holder, message{Request: &encodedRequest{Ref: j.lastRequest, JSON: data}})
	return reply, nil
}

// receiveRequest enqueues a request where this controller holds the lease.
func (j *Job) receiveRequest(jobContext job.Context, from members.ID, encoded *encodedRequest) {
	var request Request
	able := j.holdsLease && j.stateRead && len(j.requests) < maxPendingRequests
	if !able || json.Unmarshal(encoded.JSON, &request) != nil {
		j.reply(jobContext, from, encoded.Ref, Status{
			Error: "this controller does not conduct maintenance now: ask again",
		})
		return
	}
	j.requests = append(j.requests, pendingRequest{from: from, ref: encoded.Ref, Request: request})
}

// reply sends the answer to a request.
func (j *Job) reply(jobContext job.Context, to members.ID, ref uint64, s Status) {
	if data, err := json.Marshal(s); err == nil {
		sendMessage(jobContext, to, message{Answer: &encodedAnswer{Ref: ref, JSON: data}})
	}
}

// carryOut does what an operator asks for, and answers with the state after it.
func (j *Job) carryOut(jobContext job.Context, request pendingRequest) {
	run := &requestRun{state: j.agreed}
	run.state.Plans = slices.Clone(run.state.Plans)
	run.state.Without = slices.Clone(run.state.Without)
	v := j.view(jobContext)
	switch request.Action {
	case ActionStatus:
	case ActionPlan, ActionCheck:
		run.takePlans(request.Plans, v, int(j.serial+1), request.Action == ActionPlan)
	case ActionHalt, ActionResume:
		run.setHalted(request.Name, request.Action == ActionHalt)
	case ActionWithdraw:
		run.withdraw(request.Name)
	case ActionDone:
		run.markDone(request.Name)
	case ActionWithout:
		run.doWithout(members.ID(request.Name))
	default:
		run.status.Error = fmt.Sprintf("%.64q is not known", request.Action)
	}
	if run.changed {
		j.propose(jobContext, run.state)
	}
	j.describe(jobContext, run.state, &run.status)
	j.reply(jobContext, request.from, request.ref, run.status)
}

// setHalted has a plan take no further engine, or go on.
func (r *requestRun) setHalted(name string, halted bool) {
	if p := r.findPlan(name); p != nil {
		p.Halted = halted
		r.changed = true
	}
}

// findPlan is the plan of a name; nil, with an error in the answer: there is none.
func (r *requestRun) findPlan(name string) *core.Plan {
	for i := range r.state.Plans {
		if string(r.state.Plans[i].ID) == name {
			return &r.state.Plans[i]
		}
	}
	r.status.Error = fmt.Sprintf("%.64q is no plan", name)
	return nil
}

// takePlans checks plans and takes them into the state; commit: it is to be agreed on if they have
// no problems.
func (r *requestRun) takePlans(plans []core.Plan, v core.View, version int, commit bool) {
	durations := core.StepDurations{Drain: expectedDrainTime, Warm: expectedWarmTime}
	for _, p := range plans {
		p.Version = version
		problems := core.Check(p, r.state.Plans, v.Engines, v.Requirements, v.Now, durations)
		for _, problem := range problems {
			r.status.Problems = append(r.status.Problems,
				fmt.Sprintf("plan %s: %s", p.ID, problem.Error()))
		}
		r.state.Plans = slices.DeleteFunc(r.state.Plans, func(q core.Plan) bool { return q.ID == p.ID })
		r.state.Plans = append(r.state.Plans, p)
	}
	if len(r.state.Plans) > maxPlans {
		r.status.Problems = append(r.status.Problems,
			fmt.Sprintf("there would be over %d plans: withdraw some", maxPlans))
	}
	r.changed = commit && r.status.Problems == nil
	if commit && r.status.Problems != nil {
		r.status.Error = "not taken over"
	}
}

// withdraw ends a plan: the engines on which its work has begun are brought back, the others are
// left alone.
func (r *requestRun) withdraw(name string) {
	p := r.findPlan(name)
	if p == nil {
		return
	}
	p.Withdrawn = true
	r.changed = true
	r.state.Tasks = slices.DeleteFunc(slices.Clone(r.state.Tasks), func(t core.Task) bool {
		begun := t.Step != core.Done && t.Step != core.Preparing
		return t.Plan == p.ID && !begun
	})
}

// markDone takes in that a person has done the work on an engine.
func (r *requestRun) markDone(engine string) {
	i := slices.IndexFunc(r.state.Tasks, func(t core.Task) bool {
		return string(t.Engine) == engine && t.Step == core.Working
	})
	if i < 0 {
		r.status.Error = fmt.Sprintf("%.64q is not being worked on", engine)
		return
	}
	hooked := map[string]uint64{}
	maps.Copy(hooked, r.state.Hooked)
	hooked[hookKey(workHook, r.state.Tasks[i].Engine)] = r.state.Tasks[i].Sequence
	r.state.Hooked = hooked
	r.changed = true
}

// doWithout has the confirmation of a controller no longer waited for.
func (r *requestRun) doWithout(id members.ID) {
	if !slices.Contains(r.state.Without, id) && len(r.state.Without) < maxWithout {
		r.state.Without = append(r.state.Without, id)
		r.changed = true
	}
}
