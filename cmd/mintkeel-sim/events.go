package main

import (
	"fmt"
	"strconv"

	"mintkeel/internal/simwire"
	"mintkeel/router"
)

// nsPerMS converts between the simulator's time unit, ns, and the module's, ms.
const nsPerMS = 1e6

// milliseconds converts a simulator time to the module's unit.
func milliseconds(ns int64) float64 { return float64(ns) / nsPerMS }

// event converts a message to the module's event; nil if the module has no event for it. The error
// is a *simwire.FieldError that names the invalid field.
func (n *names) event(m simwire.Message) (router.Event, error) {
	switch b := m.Body.(type) {
	case simwire.EndpointsUpdated:
		return n.endpointsUpdated(m.Line, b)
	case simwire.QueryArrived:
		return n.queryArrived(m.Line, b)
	case simwire.ResponseStarted:
		return router.ResponseStarted{ID: router.QueryID(b.ID), Attempt: router.AttemptID(b.Attempt)}, nil
	case simwire.AttemptProgress:
		return attemptProgress(b), nil
	case simwire.AttemptEnded:
		return n.attemptEnded(m.Line, b)
	case simwire.ClientDisconnected:
		return router.ClientDisconnected{ID: router.QueryID(b.ID)}, nil
	case simwire.TimerFired:
		return router.TimerFired{}, nil
	case simwire.HealthCheckEnded:
		return n.healthCheckEnded(m.Line, b)
	}
	return nil, nil
}

// unknownValue returns the error for an unknown value of a field, which is given by its name on the
// wire.
func unknownValue(line int, field, value string) error {
	return &simwire.FieldError{Line: line, Field: field, Why: fmt.Sprintf("unknown value %q", value)}
}

func (n *names) endpointsUpdated(line int, m simwire.EndpointsUpdated) (router.Event, error) {
	event := router.EndpointsUpdated{
		Complete: m.Scope == simwire.ScopeComplete || m.Scope == simwire.ScopeCached,
		Cached:   m.Scope == simwire.ScopeCached,
		Failed:   m.Scope == simwire.ScopeFailed,
	}
	for _, e := range m.Endpoints {
		state, known := engineStates[e.State]
		if !known {
			return nil, unknownValue(line, "state", strconv.FormatInt(e.State, 10))
		}
		event.Endpoints = append(event.Endpoints, router.Endpoint{
			Engine:    router.EngineID(e.Engine),
			State:     state,
			Zone:      router.Zone(e.Zone),
			Kind:      n.machineKind(e.MachineKind),
			Cell:      router.CellID(e.Cell),
			StartedAt: milliseconds(e.StartedAt),
		})
	}
	return event, nil
}

func (n *names) queryArrived(line int, m simwire.QueryArrived) (router.Event, error) {
	class, known := n.Classes[m.Class]
	if !known {
		return nil, unknownValue(line, "band", m.Class)
	}
	tenant, known := n.Tenants[m.Tenant]
	if !known {
		tenant = noTenant
	}
	work := 0.0
	if m.Flags&simwire.FlagEstimated != 0 {
		work = milliseconds(m.EstimatedWork)
	}
	return router.QueryArrived{
		ID:                router.QueryID(m.ID),
		Tenant:            tenant,
		Class:             class,
		Tables:            router.TableGroup(m.TableGroup),
		Key:               router.OrderingKey(m.OrderingKey),
		TimeLeft:          milliseconds(m.TimeLeft),
		EstimatedWork:     work,
		EstimatedMemoryMB: max(0, m.EstimatedMemoryMB),
	}, nil
}

func attemptProgress(m simwire.AttemptProgress) router.Event {
	kind, known := progressKinds[m.Kind]
	if !known {
		kind = router.ProgressOther
	}
	if m.Kind == progressBlocked && m.Value == blockedByTables {
		kind = router.ProgressWaitsForTables
	}
	return router.AttemptProgress{
		ID:      router.QueryID(m.ID),
		Attempt: router.AttemptID(m.Attempt),
		Kind:    kind,
		Value:   m.Value,
	}
}

func (n *names) attemptEnded(line int, m simwire.AttemptEnded) (router.Event, error) {
	outcome, known := outcomes[m.Outcome]
	if !known {
		return nil, unknownValue(line, "reason", m.Outcome)
	}
	event := router.AttemptEnded{
		ID:        router.QueryID(m.ID),
		Attempt:   router.AttemptID(m.Attempt),
		Outcome:   outcome,
		QueryDone: m.QueryDone,
		Elapsed:   milliseconds(m.Elapsed),
		Load:      n.loadReport(m.LoadReport),
	}
	if n.AnswersHaveCost && outcome == router.Succeeded && m.Cost > 0 {
		event.Work, event.MemoryMB = unpackCost(m.Cost)
	}
	return event, nil
}

func (n *names) healthCheckEnded(line int, m simwire.HealthCheckEnded) (router.Event, error) {
	outcome, known := outcomes[m.Outcome]
	if !known {
		return nil, unknownValue(line, "reason", m.Outcome)
	}
	return router.HealthCheckEnded{
		Engine:  router.EngineID(m.Engine),
		Outcome: outcome,
		Load:    n.loadReport(m.LoadReport),
	}, nil
}
