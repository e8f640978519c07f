package maintenance

import "slices"

// Step is a stage of the work on an engine.
type Step uint8

// The steps, in their order.
const (
	// Preparing: other engines are loading its table groups; it still serves.
	Preparing Step = iota
	// Draining: it was announced as out of service; some controllers may still send queries to it.
	Draining
	// Free: all controllers that might send to it have confirmed that they stopped and that no
	// query of theirs runs there.
	Free
	// Working: the work is in progress.
	Working
	// Returning: the work is done; the engine is to return to the endpoint list.
	Returning
	// Warming: it is back, and its caches are cold.
	Warming
	// Done: it is back and warm.
	Done
	// Missing: it did not come back in time, and counts as lost.
	Missing
)

// stepNames are the names for operators, by step.
var stepNames = [...]string{
	"preparing", "draining", "free", "working", "returning", "warming", "done", "missing",
}

// String returns the step's name for operators.
func (s Step) String() string { return stepNames[s] }

// reducesCapacity reports whether an engine in this step counts as unavailable: it is, or soon will
// be.
func (s Step) reducesCapacity() bool { return s <= Warming || s == Missing }

// Task is the work on one engine, as agreed on by the quorum. It is encoded by the keys of its
// fields.
type Task struct {
	Engine EngineID `cbor:"1,keyasint"`
	Plan   PlanID   `cbor:"2,keyasint"`
	Step   Step     `cbor:"3,keyasint"`
	// StepStartedAt is when the step began, in ms since 1970.
	StepStartedAt float64 `cbor:"4,keyasint"`
	// Sequence rises with each step of any task: an action for an older one is rejected.
	Sequence uint64 `cbor:"5,keyasint"`
	// Zone, Kind and Cores are those of the engine. They are kept here as it may leave the endpoint
	// list.
	Zone  Zone    `cbor:"6,keyasint"`
	Kind  Kind    `cbor:"7,keyasint"`
	Cores float64 `cbor:"8,keyasint"`
	// EngineStartedAt is when the engine process that is taken out started, in ms since 1970. The
	// process of an engine that is back has started later.
	EngineStartedAt float64 `cbor:"9,keyasint,omitempty"`
	// ChosenAt is when the engine was chosen, in ms since 1970.
	ChosenAt float64 `cbor:"10,keyasint,omitempty"`
}

// Move is one step of one task.
type Move struct {
	Engine EngineID
	Plan   PlanID
	From   Step // of the task, unless IsNew
	To     Step
	IsNew  bool // the engine has no task yet
}

// Apply returns the tasks after a move of an engine, with the next sequence number. If the move no
// longer fits, because the tasks have changed since it was decided on, Apply returns the tasks
// unchanged and false.
func Apply(tasks []Task, m Move, e Engine, now float64) ([]Task, bool) {
	sequence := uint64(1)
	for _, t := range tasks {
		sequence = max(sequence, t.Sequence+1)
	}
	out := slices.Clone(tasks)
	for i := range out {
		t := &out[i]
		if t.Engine != m.Engine || t.Step == Done {
			continue
		}
		if m.IsNew || t.Step != m.From {
			return tasks, false
		}
		t.Step = m.To
		t.StepStartedAt = now
		t.Sequence = sequence
		return out, true
	}
	if !m.IsNew {
		return tasks, false
	}
	ofEngine := func(t Task) bool { return t.Engine == m.Engine } // done, of an earlier plan
	out = slices.DeleteFunc(out, ofEngine)
	return append(out, Task{
		Engine:          m.Engine,
		Plan:            m.Plan,
		Step:            m.To,
		StepStartedAt:   now,
		Sequence:        sequence,
		Zone:            e.Zone,
		Kind:            e.Kind,
		Cores:           e.Cores,
		EngineStartedAt: e.StartedAt,
		ChosenAt:        now,
	}), true
}
