package configuration

import (
	"fmt"
	"time"

	"mintkeel/internal/core/fleet/config"
)

// Action is an operation of operators on the fleet's configuration.
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
	ResultRefused = "refused" // the document can't be used, or a bound is exceeded
	ResultUnknown = "unknown" // the version may or may not be agreed on
)

// Timeouts of requests to the replica, a little longer than the replica's own timeouts.
const (
	QueryTimeout   = 6 * time.Second  // to query the leader
	fetchTimeout   = 11 * time.Second // to fetch a document
	proposeTimeout = 16 * time.Second // to get a version agreed on
)

// MaxRequestBytes bounds the JSON of a request. It leaves room for a document of config.MaxDocument
// bytes in base64.
const MaxRequestBytes = 2 << 20

// Request is an operator's request.
type Request struct {
	Action   Action  `json:"action"`
	Document []byte  `json:"document,omitempty"` // of ActionPut
	Expect   *uint64 `json:"expect,omitempty"`   // newest version that the author saw; nil for any
	Number   uint64  `json:"number,omitempty"`   // of ActionShow and ActionRollback
	Author   string  `json:"author,omitempty"`
	Reason   string  `json:"reason,omitempty"`
}

// Answer answers a Request.
type Answer struct {
	Result   string           `json:"result,omitempty"` // of ActionPut and ActionRollback
	Reason   string           `json:"reason,omitempty"`
	Version  *config.Version  `json:"version,omitempty"` // agreed on, or the newest for ResultLost
	Local    config.Readiness `json:"local"`             // of the controller asked
	Status   *config.Status   `json:"status,omitempty"`  // of ActionStatus
	From     string           `json:"from,omitempty"`    // leader that sent Status or Versions
	Versions []config.Version `json:"versions,omitempty"`
	Document []byte           `json:"document,omitempty"` // of ActionShow
}

// MaxDuration returns the longest time that a controller takes to answer the request.
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

// RefuseOversized returns the answer to a request whose document is too large to be sent; nil if it
// is not.
func (r *Request) RefuseOversized() *Answer {
	if len(r.Document) <= config.MaxDocument {
		return nil
	}
	return &Answer{Result: ResultRefused, Reason: oversizedReason(len(r.Document))}
}

func oversizedReason(bytes int) string {
	return fmt.Sprintf("the document has %d bytes, over the limit of %d", bytes, config.MaxDocument)
}

// resultName returns the name of a proposal's result in answers to operators.
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
