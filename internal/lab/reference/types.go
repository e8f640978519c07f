package reference

import "mintkeel/router"

type (
	QueryID            = router.QueryID
	EngineID           = router.EngineID
	OrderingKey        = router.OrderingKey
	Zone               = router.Zone
	CellID             = router.CellID
	KindID             = router.KindID
	TableGroup         = router.TableGroup
	AttemptID          = router.AttemptID
	EndpointsUpdated   = router.EndpointsUpdated
	QueryArrived       = router.QueryArrived
	OrderingKeyAdded   = router.OrderingKeyAdded
	ResponseStarted    = router.ResponseStarted
	AttemptProgress    = router.AttemptProgress
	AttemptEnded       = router.AttemptEnded
	ClientDisconnected = router.ClientDisconnected
	HealthCheckEnded   = router.HealthCheckEnded
	StatisticsRestored = router.StatisticsRestored
	ShutdownStarted    = router.ShutdownStarted
	StartAttempt       = router.StartAttempt
	CancelAttempt      = router.CancelAttempt
	Reject             = router.Reject
	Fail               = router.Fail
	SetTimer           = router.SetTimer
	CheckHealth        = router.CheckHealth
	Subscribe          = router.Subscribe
	Statistics         = router.Statistics
	RepeatEffect       = router.RepeatEffect
	DeduplicationScope = router.DeduplicationScope
	QueryClass         = router.QueryClass
	MachineKind        = router.MachineKind
	Tenant             = router.Tenant
	Identity           = router.Identity
	Capabilities       = router.Capabilities
	SafetyLimits       = router.SafetyLimits
	Outcome            = router.Outcome
	LoadReport         = router.LoadReport
	EngineState        = router.EngineState
	Event              = router.Event
	Action             = router.Action
	WeightedMean       = router.WeightedMean
)

const (
	Idempotent             = router.Idempotent
	Deduplicated           = router.Deduplicated
	NonIdempotent          = router.NonIdempotent
	ScopeAll               = router.ScopeAll
	ScopeZone              = router.ScopeZone
	ScopeCell              = router.ScopeCell
	Succeeded              = router.Succeeded
	Errored                = router.Errored
	EngineFull             = router.EngineFull
	TimedOut               = router.TimedOut
	ConnectFailed          = router.ConnectFailed
	ConnectionReset        = router.ConnectionReset
	NotSent                = router.NotSent
	Ready                  = router.Ready
	Gone                   = router.Gone
	ProgressDone           = router.ProgressDone
	ProgressWaitsForTables = router.ProgressWaitsForTables
)
