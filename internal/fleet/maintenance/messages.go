package maintenance

import (
	"encoding/json"
	"time"

	"github.com/fxamacker/cbor/v2"

	core "mintkeel/internal/core/fleet/maintenance"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/fleet/job"
	"mintkeel/router"
)

// agreedState is the state that the quorum commits and the next lease holder continues from.
type agreedState struct {
	Plans    []core.Plan     `cbor:"1,keyasint"`
	Tasks    []core.Task     `cbor:"2,keyasint"`
	Excluded []members.ID    `cbor:"3,keyasint,omitempty"` // controllers not waited for
	Known    []core.EngineID `cbor:"5,keyasint,omitempty"` // engines that are expected to exist

	// ConfirmedWork has, by hookKey, the sequence number of the task whose work a person confirmed.
	ConfirmedWork map[string]uint64 `cbor:"6,keyasint,omitempty"`
}

// holdEffect is the effect that announces to every controller the engines that it may not send new
// attempts to.
type holdEffect struct {
	Serial  uint64            `cbor:"1,keyasint"` // of the agreed state
	Engines []router.EngineID `cbor:"2,keyasint"` // sorted
}

// messageKind is the value of message.Kind in all messages of this job.
const messageKind = "maintenance"

// message is a message between the jobs of two controllers: a request, its answer, or a
// confirmation of the held engines. Its encoding depends on the order of the fields.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Token   uint64            // of the announcement that is confirmed
	Serial  uint64            // of the announcement that is confirmed
	Stopped []router.EngineID // held engines on which none of the sender's attempts run any more
	Request *encodedRequest
	Answer  *encodedAnswer
}

// encodedRequest is a Request that is sent to the lease holder.
type encodedRequest struct {
	_    struct{} `cbor:",toarray"`
	Ref  uint64   // number that the sender assigned
	JSON []byte
}

// encodedAnswer is the Status that answers a request.
type encodedAnswer struct {
	_    struct{} `cbor:",toarray"`
	Ref  uint64   // of the request
	JSON []byte
}

// Actions of requests.
const (
	ActionStatus   = "status"
	ActionPlan     = "plan"     // add or replace plans
	ActionCheck    = "check"    // check plans without adding them
	ActionHalt     = "halt"     // start work on no further engine of a plan
	ActionResume   = "resume"   // resume a halted plan
	ActionWithdraw = "withdraw" // end a plan
	ActionDone     = "done"     // confirm that a person has done the work on an engine
	ActionWithout  = "without"  // stop waiting for a controller's confirmations
)

// Request is an operator's request to the holder of the maintenance lease.
type Request struct {
	Action string      `json:"do"`              // one of the actions
	Plans  []core.Plan `json:"plans,omitempty"` // of ActionPlan and ActionCheck
	Name   string      `json:"name,omitempty"`  // plan, engine or controller, by the action
}

// Status is the state of maintenance as the lease holder sees it. Operators' scripts depend on the
// JSON names.
type Status struct {
	Holder    string           `json:"conductor"`
	Token     uint64           `json:"epoch"` // fencing token of the lease
	Serial    uint64           `json:"serial"`
	Plans     []core.Plan      `json:"plans"`
	Tasks     []TaskStatus     `json:"tasks"`
	Reasons   []string         `json:"reasons"` // why engines have to wait
	Forecasts []ForecastStatus `json:"forecasts"`
	Problems  []string         `json:"problems,omitempty"` // of the plans in the request
	Error     string           `json:"error,omitempty"`
}

// ForecastStatus is the interval in which a plan will be done with a probability of 90 %.
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
	SinceMS      int64    `json:"since_ms"`                // ms since the step started
	NotConfirmed []string `json:"not_confirmed,omitempty"` // controllers that may still send to it
	Waits        string   `json:"waits,omitempty"`         // what the step waits for
}

// sendMessage sends a message to the job of another controller.
func sendMessage(jobContext job.Context, to members.ID, m message) {
	m.Kind = messageKind
	data, err := cbor.Marshal(m)
	if err != nil {
		return
	}
	jobContext.SendMessage(to, data)
}

// MessageReceived handles a request, an answer or a confirmation. It returns false for a message of
// another job.
func (j *Job) MessageReceived(jobContext job.Context, from members.ID, data []byte) bool {
	var received message
	if err := frames.Decoder.Unmarshal(data, &received); err != nil || received.Kind != messageKind {
		return false
	}
	switch {
	case received.Request != nil:
		j.receiveRequest(jobContext, from, received.Request)
	case received.Answer != nil:
		j.receiveAnswer(received.Answer)
	case j.holdsLease && received.Token == uint64(j.grant.Token):
		j.confirmations[from] = confirmation{
			serial:     received.Serial,
			stopped:    received.Stopped,
			receivedAt: jobContext.Now(),
		}
	}
	return true
}

// receiveAnswer delivers an answer to the operator's request that waits for it, if there still is
// one.
func (j *Job) receiveAnswer(answer *encodedAnswer) {
	reply := j.replies[answer.Ref]
	var status Status
	if reply == nil || json.Unmarshal(answer.JSON, &status) != nil {
		return
	}
	delete(j.replies, answer.Ref)
	reply <- status
}
