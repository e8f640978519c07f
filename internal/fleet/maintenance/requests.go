package maintenance

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
)

// pendingRequest is a request that waits for the holder's next step.
type pendingRequest struct {
	from members.ID
	ref  uint64
	Request
}

// requestRun is a request that is being carried out: the state that it would have agreed on, and its answer.
type requestRun struct {
	state   agreedState
	changed bool
	status  Status
}

// errNoConductor is that no controller holds the maintenance lease, as far as this one knows.
var errNoConductor = errors.New("nobody conducts maintenance now, as far as this controller knows")

// SendRequest passes an operator's request on to the holder of the lease; the answer comes on the returned channel.
func (j *Job) SendRequest(jobContext job.Context, holder members.ID, request Request) (chan Status, error) {
	if holder == "" {
		return nil, errNoConductor
	}
	data, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	if len(j.replies) >= maxPendingRequests {
		clear(j.replies) // nobody waits for these any more
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
	if !j.holdsLease || !j.known || len(j.requests) >= maxPendingRequests || json.Unmarshal(encoded.JSON, &request) != nil {
		j.reply(jobContext, from, encoded.Ref, Status{Error: "this controller does not conduct maintenance now: ask again"})
		return
	}
	j.requests = append(j.requests, pendingRequest{from, encoded.Ref, request})
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
	case "status":
	case "plan", "check":
		run.takePlans(request.Plans, v, int(j.serial+1), request.Action == "plan")
	case "halt", "resume":
		if p := run.findPlan(request.Name); p != nil {
			p.Halted, run.changed = request.Action == "halt", true
		}
	case "withdraw":
		run.withdraw(request.Name)
	case "done":
		run.markDone(request.Name)
	case "without":
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

// takePlans checks plans and takes them into the state; commit tells whether they are to be agreed on.
func (r *requestRun) takePlans(plans []core.Plan, v core.View, version int, commit bool) {
	times := core.StepDurations{Drain: 10000, Warm: 30000}
	for _, p := range plans {
		p.Version = version
		for _, problem := range core.Check(p, r.state.Plans, v.Engines, v.Requirements, v.Now, times) {
			r.status.Problems = append(r.status.Problems, fmt.Sprintf("plan %s: %s", p.ID, problem.Error()))
		}
		r.state.Plans = slices.DeleteFunc(r.state.Plans, func(q core.Plan) bool { return q.ID == p.ID })
		r.state.Plans = append(r.state.Plans, p)
	}
	if len(r.state.Plans) > maxPlans {
		r.status.Problems = append(r.status.Problems, fmt.Sprintf("there would be over %d plans: withdraw some", maxPlans))
	}
	r.changed = commit && r.status.Problems == nil
	if commit && r.status.Problems != nil {
		r.status.Error = "not taken over"
	}
}

// withdraw ends a plan: the engines on which its work has begun are brought back, the others are left alone.
func (r *requestRun) withdraw(name string) {
	p := r.findPlan(name)
	if p == nil {
		return
	}
	p.Withdrawn, r.changed = true, true
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
	hooked["work "+engine] = r.state.Tasks[i].Sequence
	r.state.Hooked, r.changed = hooked, true
}

// doWithout has the confirmation of a controller no longer waited for.
func (r *requestRun) doWithout(id members.ID) {
	if !slices.Contains(r.state.Without, id) && len(r.state.Without) < maxWithout {
		r.state.Without, r.changed = append(r.state.Without, id), true
	}
}

// describe fills in the state of all plans and tasks.
func (j *Job) describe(jobContext job.Context, state agreedState, s *Status) {
	s.Holder, s.Token, s.Serial, s.Plans = string(jobContext.Self()), uint64(j.grant.Token), j.serial, state.Plans
	s.Tasks, s.Reasons, s.Forecasts = []TaskStatus{}, []string{}, []ForecastStatus{}
	v := j.view(jobContext)
	for _, p := range state.Plans {
		after, before, ok := core.Forecast(v, p)
		if ok && !p.Withdrawn && !p.Halted {
			s.Forecasts = append(s.Forecasts, ForecastStatus{
				Plan:   string(p.ID),
				After:  time.UnixMilli(int64(after)).UTC(),
				Before: time.UnixMilli(int64(before)).UTC(),
			})
		}
	}
	for _, t := range state.Tasks {
		task := TaskStatus{
			Engine:  string(t.Engine),
			Plan:    string(t.Plan),
			Step:    t.Step.String(),
			SinceMS: int64(j.now() - t.StepStartedAt),
			Waits:   j.waits[t.Engine],
		}
		if t.Step == core.Draining {
			task.NotConfirmed = j.unconfirmed(jobContext, t.Engine)
		}
		s.Tasks = append(s.Tasks, task)
	}
	slices.SortFunc(s.Tasks, func(a, b TaskStatus) int { return cmp.Compare(a.Engine, b.Engine) })
	for _, r := range j.reasons {
		if len(s.Reasons) < maxReasons {
			s.Reasons = append(s.Reasons, cmp.Or(string(r.Engine), "all")+" "+r.Text)
		}
	}
}
