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
	from members.ID // controller that forwarded the operator's request
	ref  uint64     // number that the forwarding controller assigned to the request
	Request
}

// requestRun is the execution of a request: the state that it leads to, and its answer.
type requestRun struct {
	state   agreedState
	changed bool // the state has to be proposed
	status  Status
}

// ErrNoHolder means that no controller holds the maintenance lease, as far as this one knows.
var ErrNoHolder = errors.New("no controller holds the maintenance lease, as far as this one knows")

// Durations in ms that the check of plans assumes for steps whose end depends on the installation.
const (
	expectedDrainTime = 10000.0
	expectedWarmTime  = 30000.0
)

// SendRequest forwards an operator's request to the lease holder. The answer is sent to the
// returned channel, which has room for it, or may be lost, so the caller has to bound its wait. The
// error is ErrNoHolder if there is no holder.
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
		clear(j.replies) // their callers have timed out, as there are never that many at once
	}
	j.lastRequest++
	reply := make(chan Status, 1)
	j.replies[j.lastRequest] = reply
	sendMessage(jobContext, holder, message{Request: &encodedRequest{Ref: j.lastRequest, JSON: data}})
	return reply, nil
}

// receiveRequest enqueues a request if this controller holds the lease and has read its state, and
// otherwise answers it with an error.
func (j *Job) receiveRequest(jobContext job.Context, from members.ID, encoded *encodedRequest) {
	var request Request
	accepted := j.holdsLease && j.stateRead && len(j.requests) < maxPendingRequests
	if !accepted || json.Unmarshal(encoded.JSON, &request) != nil {
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

// executeRequest executes an operator's request and answers with the resulting state, which the
// quorum has yet to commit.
func (j *Job) executeRequest(jobContext job.Context, request pendingRequest) {
	run := &requestRun{state: j.agreed}
	run.state.Plans = slices.Clone(run.state.Plans)
	run.state.Excluded = slices.Clone(run.state.Excluded)
	v := j.view(jobContext)
	switch request.Action {
	case ActionStatus:
	case ActionPlan, ActionCheck:
		run.addPlans(request.Plans, v, int(j.serial+1), request.Action == ActionPlan)
	case ActionHalt, ActionResume:
		run.setHalted(request.Name, request.Action == ActionHalt)
	case ActionWithdraw:
		run.withdraw(request.Name)
	case ActionDone:
		run.markDone(request.Name)
	case ActionWithout:
		run.excludeController(members.ID(request.Name))
	default:
		run.status.Error = fmt.Sprintf("%.64q is not a known action", request.Action)
	}
	if run.changed {
		j.propose(jobContext, run.state)
	}
	j.fillStatus(jobContext, run.state, &run.status)
	j.reply(jobContext, request.from, request.ref, run.status)
}

// setHalted halts or resumes a plan.
func (r *requestRun) setHalted(name string, halted bool) {
	if plan := r.findPlan(name); plan != nil {
		plan.Halted = halted
		r.changed = true
	}
}

// findPlan returns the plan with a name. If there is none, it sets the answer's error and returns
// nil.
func (r *requestRun) findPlan(name string) *core.Plan {
	for i := range r.state.Plans {
		if string(r.state.Plans[i].ID) == name {
			return &r.state.Plans[i]
		}
	}
	r.status.Error = fmt.Sprintf("there is no plan %.64q", name)
	return nil
}

// addPlans checks plans and adds them to the state, replacing plans of the same name. With commit,
// the state is proposed if they have no problems.
func (r *requestRun) addPlans(plans []core.Plan, v core.View, version int, commit bool) {
	durations := core.StepDurations{Drain: expectedDrainTime, Warm: expectedWarmTime}
	for _, plan := range plans {
		plan.Version = version
		problems := core.Check(plan, r.state.Plans, v.Engines, v.Requirements, v.Now, durations)
		for _, problem := range problems {
			r.status.Problems = append(r.status.Problems,
				fmt.Sprintf("plan %s: %s", plan.ID, problem.Error()))
		}
		r.state.Plans = slices.DeleteFunc(r.state.Plans,
			func(q core.Plan) bool { return q.ID == plan.ID })
		r.state.Plans = append(r.state.Plans, plan)
	}
	if len(r.state.Plans) > maxPlans {
		r.status.Problems = append(r.status.Problems,
			fmt.Sprintf("there would be more than %d plans: withdraw some", maxPlans))
	}
	r.changed = commit && r.status.Problems == nil
	if commit && r.status.Problems != nil {
		r.status.Error = "plans not added because of their problems"
	}
}

// withdraw ends a plan: engines on which its work has begun are returned to service, and the tasks
// of the others are removed.
func (r *requestRun) withdraw(name string) {
	plan := r.findPlan(name)
	if plan == nil {
		return
	}
	plan.Withdrawn = true
	r.changed = true
	r.state.Tasks = slices.DeleteFunc(slices.Clone(r.state.Tasks), func(t core.Task) bool {
		begun := t.Step != core.Done && t.Step != core.Preparing
		return t.Plan == plan.ID && !begun
	})
}

// markDone records that a person has done the work on an engine.
func (r *requestRun) markDone(engine string) {
	i := slices.IndexFunc(r.state.Tasks, func(t core.Task) bool {
		return string(t.Engine) == engine && t.Step == core.Working
	})
	if i < 0 {
		r.status.Error = fmt.Sprintf("%.64q is not being worked on", engine)
		return
	}
	confirmedWork := map[string]uint64{}
	maps.Copy(confirmedWork, r.state.ConfirmedWork)
	confirmedWork[hookKey(workHook, r.state.Tasks[i].Engine)] = r.state.Tasks[i].Sequence
	r.state.ConfirmedWork = confirmedWork
	r.changed = true
}

// excludeController records that a controller's confirmations are no longer required.
func (r *requestRun) excludeController(id members.ID) {
	if !slices.Contains(r.state.Excluded, id) && len(r.state.Excluded) < maxExcluded {
		r.state.Excluded = append(r.state.Excluded, id)
		r.changed = true
	}
}
