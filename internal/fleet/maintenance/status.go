package maintenance

import (
	"cmp"
	"slices"
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/fleet/job"
)

// fillStatus fills in the status of all plans and tasks.
func (j *Job) fillStatus(jobContext job.Context, state agreedState, status *Status) {
	status.Holder = string(jobContext.Self())
	status.Token = uint64(j.grant.Token)
	status.Serial = j.serial
	status.Plans = state.Plans
	status.Forecasts = forecasts(j.view(jobContext), state.Plans)
	status.Tasks = []TaskStatus{}
	for _, task := range state.Tasks {
		status.Tasks = append(status.Tasks, j.taskStatus(jobContext, task))
	}
	slices.SortFunc(status.Tasks, func(a, b TaskStatus) int { return cmp.Compare(a.Engine, b.Engine) })
	status.Reasons = []string{}
	for _, reason := range j.reasons[:min(len(j.reasons), maxReasons)] {
		status.Reasons = append(status.Reasons, cmp.Or(string(reason.Engine), "all")+" "+reason.Text)
	}
}

// forecasts returns when the plans that are neither halted nor withdrawn will be done.
func forecasts(v core.View, plans []core.Plan) []ForecastStatus {
	list := []ForecastStatus{} // encoded as an empty list
	for _, plan := range plans {
		after, before, ok := core.Forecast(v, plan)
		if ok && !plan.Withdrawn && !plan.Halted {
			list = append(list, ForecastStatus{
				Plan:   string(plan.ID),
				After:  time.UnixMilli(int64(after)).UTC(),
				Before: time.UnixMilli(int64(before)).UTC(),
			})
		}
	}
	return list
}

// taskStatus returns the status of the work on one engine.
func (j *Job) taskStatus(jobContext job.Context, task core.Task) TaskStatus {
	status := TaskStatus{
		Engine:  string(task.Engine),
		Plan:    string(task.Plan),
		Step:    task.Step.String(),
		SinceMS: int64(j.now() - task.StepStartedAt),
		Waits:   j.waitReasons[task.Engine],
	}
	if task.Step == core.Draining {
		status.NotConfirmed = j.unconfirmed(jobContext, task.Engine)
	}
	return status
}
