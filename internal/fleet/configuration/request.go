package configuration

import (
	"fmt"
	"time"

	"mintkeel/internal/core/fleet/config"
)

// Action is what an operator asks of the fleet's configuration.
type Action string

// Actions of operators.
const (
	ActionPut      Action = "put"
	ActionStatus   Action = "status"
	ActionHistory  Action = "history"
	ActionShow     Action = "show"
	ActionRollback Action = "rollback"
)

// Results of ActionPut and ActionRollback.
const (
	ResultAgreed  = "agreed"
	ResultLost    = "lost"    // another version was agreed on first
	ResultRefused = "refused" // the document can't be used, or a bound is passed
	ResultUnknown = "unknown" // it may be agreed on, or not
)

// Longest waits for the replica's answer to a request: a little longer than its own waits.
const (
	QueryTimeout   = 6 * time.Second  // to query the leader
	fetchTimeout   = 11 * time.Second // to find a document
	proposeTimeout = 16 * time.Second // to have a version agreed on
)

// MaxRequestBytes bounds the JSON of a request: a document, in base64, has config.MaxDocument bytes
// at most before that.
const MaxRequestBytes = 2 << 20

// Request is an operator's request.
type Request struct {
	Action   Action  `json:"action"`
	Document []byte  `json:"document,omitempty"` // of ActionPut
	Expect   *uint64 `json:"expect,omitempty"`   // newest version that the author has seen; nil: any
	Number   uint64  `json:"number,omitempty"`   // of ActionShow and ActionRollback
	Author   string  `json:"author,omitempty"`
	Reason   string  `json:"reason,omitempty"`
}

// Answer answers a Request.
type Answer struct {
	Result   string           `json:"result,omitempty"` // of ActionPut and ActionRollback
	Reason   string           `json:"reason,omitempty"`
	Version  *config.Version  `json:"version,omitempty"` // agreed on, or the newest where it was lost
	Local    config.Readiness `json:"local"`             // of the controller asked
	Status   *config.Status   `json:"status,omitempty"`  // of ActionStatus
	From     string           `json:"from,omitempty"`    // the leader that Status or Versions are from
	Versions []config.Version `json:"versions,omitempty"`
	Document []byte           `json:"document,omitempty"` // of ActionShow
}

// MaxDuration is how long a controller takes for the request at most.
func (r *Request) MaxDuration() time.Duration {
	switch r.Action {
	case ActionPut:
		return QueryTimeout + proposeTimeout
	case ActionRollback:
		return QueryTimeout + fetchTimeout + proposeTimeout
	case ActionShow:
		return QueryTimeout + fetchTimeout
	default:
		return QueryTimeout
	}
}

// RefuseOversized answers a request with a document that is too big to be sent; nil: it is not.
func (r *Request) RefuseOversized() *Answer {
	if len(r.Document) <= config.MaxDocument {
		return nil
	}
	return &Answer{Result: ResultRefused, Reason: oversizedReason(len(r.Document))}
}

func oversizedReason(bytes int) string {
	return fmt.Sprintf("the document has %d bytes: %d are possible", bytes, config.MaxDocument)
}

// resultName is a result of a proposal as operators see it.
func resultName(r config.Result) string {
	switch r {
	case config.Committed:
		return ResultAgreed
	case config.Conflict:
		return ResultLost
	case config.Rejected:
		return ResultRefused
	default:
		return ResultUnknown
	}
}
