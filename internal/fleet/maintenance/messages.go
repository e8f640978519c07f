package maintenance

import (
	"time"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/router"
)

// agreedState is what is agreed through the quorum, and what a lease holder hands on to the next.
type agreedState struct {
	Plans   []core.Plan       `cbor:"1,keyasint"`
	Tasks   []core.Task       `cbor:"2,keyasint"`
	Without []members.ID      `cbor:"3,keyasint,omitempty"` // controllers whose confirmation an operator does without
	Known   []core.EngineID   `cbor:"5,keyasint,omitempty"` // the engines that there should be
	Hooked  map[string]uint64 `cbor:"6,keyasint,omitempty"` // the number of the task for which a person has done a program's part
}

// holdEffect is the effect that lists, to every controller, the engines that it is to send nothing to.
type holdEffect struct {
	Serial  uint64            `cbor:"1,keyasint"`
	Engines []router.EngineID `cbor:"2,keyasint"`
}

// messageKind tells a message from the messages of other jobs.
const messageKind = "maintenance"

// message is one between the jobs of two controllers: a request, its answer, or a confirmation of what is held.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Token   uint64
	Serial  uint64
	Stopped []router.EngineID // held here, with nothing of this controller's own still running there
	Request *encodedRequest
	Answer  *encodedAnswer
}

type encodedRequest struct {
	_    struct{} `cbor:",toarray"`
	Ref  uint64
	JSON []byte
}

type encodedAnswer struct {
	_    struct{} `cbor:",toarray"`
	Ref  uint64
	JSON []byte
}

// Request is what an operator asks of the holder of the maintenance lease.
type Request struct {
	Action string      `json:"do"` // "status", "plan", "check", "halt", "resume", "withdraw", "done", "without"
	Plans  []core.Plan `json:"plans,omitempty"`
	Name   string      `json:"name,omitempty"` // of a plan, an engine or a controller
}

// Status is the state of maintenance as its lease holder sees it. The JSON names are those of its operators.
type Status struct {
	Holder    string           `json:"conductor"`
	Token     uint64           `json:"epoch"`
	Serial    uint64           `json:"serial"`
	Plans     []core.Plan      `json:"plans"`
	Tasks     []TaskStatus     `json:"tasks"`
	Reasons   []string         `json:"reasons"`
	Forecasts []ForecastStatus `json:"forecasts"`
	Problems  []string         `json:"problems,omitempty"`
	Error     string           `json:"error,omitempty"`
}

// ForecastStatus is when a plan will be done, in nine of ten cases.
type ForecastStatus struct {
	Plan   string    `json:"plan"`
	After  time.Time `json:"after"`
	Before time.Time `json:"before"`
}

// TaskStatus is the work on one engine.
type TaskStatus struct {
	Engine       string   `json:"engine"`
	Plan         string   `json:"plan"`
	Step         string   `json:"step"`
	SinceMS      int64    `json:"since_ms"`
	NotConfirmed []string `json:"not_confirmed,omitempty"` // controllers that may still send to it, for all that is known
	Waits        string   `json:"waits,omitempty"`
}
