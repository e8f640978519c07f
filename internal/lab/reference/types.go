package reference

import "mintkeel/router"

type (
	CommandID  = router.CommandID
	EngineID   = router.EngineID
	OrderKey   = router.OrderKey
	Zone       = router.Zone
	CellID     = router.CellID
	KindID     = router.KindID
	TableGroup = router.TableGroup
	SendID     = router.SendID
	Listed     = router.Listed
	Arrived    = router.Arrived
	Keyed      = router.Keyed
	Began      = router.Began
	Noted      = router.Noted
	Ended      = router.Ended
	Left       = router.Left
	Probed     = router.Probed
	Recalled   = router.Recalled
	Stopping   = router.Stopping
	Send       = router.Send
	Cancel     = router.Cancel
	Shed       = router.Shed
	Fail       = router.Fail
	Wake       = router.Wake
	Probe      = router.Probe
	Subscribe  = router.Subscribe
	Learned    = router.Learned
	Effect     = router.Effect
	Scope      = router.Scope
	Profile    = router.Profile
	Kind       = router.Kind
	Tenant     = router.Tenant
	Place      = router.Place
	Allowed    = router.Allowed
	Guards     = router.Guards
	Outcome    = router.Outcome
	Load       = router.Load
	State      = router.State
	Event      = router.Event
	Action     = router.Action
	Weighed    = router.Weighed
)

const (
	Replayable      = router.Replayable
	Uniqued         = router.Uniqued
	NonReplayable   = router.NonReplayable
	ScopeAll        = router.ScopeAll
	ScopeZone       = router.ScopeZone
	ScopeCell       = router.ScopeCell
	Answered        = router.Answered
	Errored         = router.Errored
	Full            = router.Full
	TimedOut        = router.TimedOut
	Refused         = router.Refused
	Reset           = router.Reset
	NotSent         = router.NotSent
	Ready           = router.Ready
	Gone            = router.Gone
	NoteProgress    = router.NoteProgress
	NoteWaitsTables = router.NoteWaitsTables
)
