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

// agreedState is what is agreed on through the quorum: the next lease holder goes on from it.
type agreedState struct {
	Plans    []core.Plan     `cbor:"1,keyasint"`
	Tasks    []core.Task     `cbor:"2,keyasint"`
	Excluded []members.ID    `cbor:"3,keyasint,omitempty"` // controllers not waited for any more
	Known    []core.EngineID `cbor:"5,keyasint,omitempty"` // the engines that there should be

	// ConfirmedWork is, by hookKey, the sequence number of the task that a person has done the work of.
	ConfirmedWork map[string]uint64 `cbor:"6,keyasint,omitempty"`
}

// holdEffect is the effect that lists, to every controller, the engines to which it may send
// nothing new.
type holdEffect struct {
	Serial  uint64            `cbor:"1,keyasint"` // of the agreed state
	Engines []router.EngineID `cbor:"2,keyasint"` // sorted
}

// messageKind is message.Kind of all messages of this job.
const messageKind = "maintenance"

// message is one between the jobs of two controllers: a request, its answer, or a confirmation of
// what is held. It is encoded by the order of its fields.
type message struct {
	_       struct{} `cbor:",toarray"`
	Kind    string
	Token   uint64            // of the announcement that is confirmed
	Serial  uint64            // of the announcement that is confirmed
	Stopped []router.EngineID // held here, with nothing of this controller's own still running there
	Request *encodedRequest
	Answer  *encodedAnswer
}

// encodedRequest is a Request on its way to the lease holder.
type encodedRequest struct {
	_    struct{} `cbor:",toarray"`
	Ref  uint64   // number that the sender gave it
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
	ActionPlan     = "plan"     // take plans over
	ActionCheck    = "check"    // check plans without taking them over
	ActionHalt     = "halt"     // take no further engine for a plan
	ActionResume   = "resume"   // go on with a halted plan
	ActionWithdraw = "withdraw" // end a plan
	ActionDone     = "done"     // a person has done the work on an engine
	ActionWithout  = "without"  // wait for a controller's confirmations no more
)

// Request is what an operator asks of the holder of the maintenance lease.
type Request struct {
	Action string      `json:"do"`              // one of the actions
	Plans  []core.Plan `json:"plans,omitempty"` // of ActionPlan and ActionCheck
	Name   string      `json:"name,omitempty"`  // of a plan, an engine or a controller
}

// Status is the state of maintenance as its lease holder sees it. The JSON names stay as they are
// for operators' scripts.
type Status struct {
	Holder    string           `json:"conductor"`
	Token     uint64           `json:"epoch"` // fencing token of the lease
	Serial    uint64           `json:"serial"`
	Plans     []core.Plan      `json:"plans"`
	Tasks     []TaskStatus     `json:"tasks"`
	Reasons   []string         `json:"reasons"` // why engines wait
	Forecasts []ForecastStatus `json:"forecasts"`
	Problems  []string         `json:"problems,omitempty"` // of plans that were to be checked
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
	SinceMS      int64    `json:"since_ms"`                // ms since the step began
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

// MessageReceived takes in a request, an answer or a confirmation; it is false for a message of
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

// receiveAnswer hands an answer to the operator's request that waits for it, if one still does.
func (j *Job) receiveAnswer(answer *encodedAnswer) {
	reply := j.replies[answer.Ref]
	var status Status
	if reply == nil || json.Unmarshal(answer.JSON, &status) != nil {
		return
	}
	delete(j.replies, answer.Ref)
	reply <- status
}
