package control

import (
	"time"

	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/maintenance"
)

// Actions of requests.
const (
	ActionStatus      = "status"
	ActionHandOver    = "handover"
	ActionReplace     = "replace"
	ActionTrust       = "trust"
	ActionMaintenance = "maintenance"
	ActionConfig      = "config"
)

// Request is an operator's request.
type Request struct {
	Action string `json:"do"`             // one of the actions
	Lease  string `json:"work,omitempty"` // of ActionHandOver
	To     string `json:"to,omitempty"`   // controller, of ActionHandOver and ActionReplace
	Old    string `json:"old,omitempty"`  // controller, of ActionReplace

	Maintenance *maintenance.Request   `json:"maintenance,omitempty"`
	Config      *configuration.Request `json:"config,omitempty"`
}

// maxDuration returns the longest time that a controller takes to answer the request.
func (r *Request) maxDuration() time.Duration {
	if r.Action == ActionConfig && r.Config != nil {
		return r.Config.MaxDuration() + Timeout
	}
	return Timeout
}
