package main

import (
	"errors"
	"fmt"
	"strconv"

	"mintkeel/internal/settings"
	"mintkeel/internal/simwire"
	"mintkeel/router"
)

// names turn the wire's names into the module's ids.
type names settings.Names

var (
	states = map[int64]router.EngineState{2: router.Ready, 0: router.Draining, 3: router.Gone}
	notes  = map[int64]router.ProgressKind{1: router.ProgressDone, 2: router.ProgressSpilling, 3: router.ProgressWaitsForMemory}

	outcomes = map[string]router.Outcome{"done": router.Succeeded, "err": router.Errored, "busy": router.EngineFull,
		"etimedout": router.TimedOut, "econnrefused": router.ConnectFailed, "econnreset": router.ConnectionReset,
		"ecanceled": router.Cancelled, "skipped": router.NotSent}
)

func start(line int, up simwire.Up) (*instance, error) {
	facts, err := settings.Read(settings.Values(up.Options))
	var field *settings.FieldError
	if errors.As(err, &field) {
		return nil, &simwire.FieldError{Line: line, Field: field.Field, Why: field.Why}
	}
	return &instance{names: names(facts.Names), module: facts.NewRouter(int64(up.Nonce))}, nil
}

func controllerOf(body any) int {
	switch b := body.(type) {
	case simwire.View:
		return b.Controller
	case simwire.Incoming:
		return b.Controller
	case simwire.Opened:
		return b.Controller
	case simwire.Signal:
		return b.Controller
	case simwire.AttemptEnd:
		return b.Controller
	case simwire.Vanished:
		return b.Controller
	case simwire.Bell:
		return b.Controller
	case simwire.Probed:
		return b.Controller
	case simwire.Memo:
		return b.Controller
	}
	panic(fmt.Sprintf("no controller in %T", body))
}

// event turns a message into the module's event; nil where the module has no use for it.
func (n *names) event(m simwire.Message) (router.Event, error) {
	unknown := func(field, value string) error {
		return &simwire.FieldError{Line: m.Line, Field: field, Why: fmt.Sprintf("%q is not known", value)}
	}
	switch b := m.Body.(type) {
	case simwire.View:
		listed := router.EndpointsUpdated{Complete: b.Scope == 1 || b.Scope == 2, Cached: b.Scope == 2, Failed: b.Scope == 3}
		for _, item := range b.Items {
			state, known := states[item.State]
			if !known {
				return nil, unknown("state", strconv.FormatInt(item.State, 10))
			}
			kind := (*settings.Names)(n).MachineKind(item.Shape)
			listed.Endpoints = append(listed.Endpoints, router.Endpoint{Engine: router.EngineID(item.Executor), State: state,
				Zone: router.Zone(item.Zone), Kind: kind, Cell: router.CellID(item.Cluster),
				StartedAt: float64(item.Since) / 1e6})
		}
		return listed, nil
	case simwire.Incoming:
		profile, known := n.Classes[b.Band]
		if !known {
			return nil, unknown("band", b.Band)
		}
		tenant, known := n.Tenants[b.Project]
		if !known {
			tenant = -1
		}
		estimate := b.Estimate
		if b.Flags&1 == 0 {
			estimate = 0
		}
		return router.QueryArrived{ID: router.QueryID(b.ID), Tenant: tenant, Class: profile,
			Tables: router.TableGroup(b.TableGroup), Key: router.OrderingKey(b.Relation), TimeLeft: float64(b.Left) / 1e6,
			EstimatedWork: float64(estimate) / 1e6, EstimatedMemoryMB: max(0, b.MemoryMB)}, nil
	case simwire.Opened:
		return router.ResponseStarted{ID: router.QueryID(b.ID), Attempt: router.AttemptID(b.Go)}, nil
	case simwire.Signal:
		kind, known := notes[b.What]
		if !known {
			kind = router.ProgressOther
		}
		if b.What == 3 && b.Level == 2 {
			kind = router.ProgressWaitsForTables
		}
		return router.AttemptProgress{ID: router.QueryID(b.ID), Attempt: router.AttemptID(b.Go), Kind: kind, Value: b.Level}, nil
	case simwire.AttemptEnd:
		outcome, known := outcomes[b.Reason]
		if !known {
			return nil, unknown("reason", b.Reason)
		}
		ended := router.AttemptEnded{ID: router.QueryID(b.ID), Attempt: router.AttemptID(b.Go), Outcome: outcome, QueryDone: b.Over,
			Elapsed: float64(b.Took) / 1e6, Load: n.load(b.Feedback)}
		if n.AnswersHaveCost && outcome == router.Succeeded && b.TrueCost > 0 {
			ended.Work, ended.MemoryMB = float64(b.TrueCost/4096), float64(b.TrueCost%4096)*4
		}
		return ended, nil
	case simwire.Vanished:
		return router.ClientDisconnected{ID: router.QueryID(b.ID)}, nil
	case simwire.Bell:
		return router.TimerFired{}, nil
	case simwire.Probed:
		outcome, known := outcomes[b.Reason]
		if !known {
			return nil, unknown("reason", b.Reason)
		}
		return router.HealthCheckEnded{Engine: router.EngineID(b.Executor), Outcome: outcome, Load: n.load(b.Feedback)}, nil
	}
	return nil, nil
}

func (n *names) load(row []float64) *router.LoadReport {
	if row == nil {
		return nil
	}
	l := settings.UnknownLoad()
	for i, x := range row[:min(len(row), len(n.ReportFields))] {
		settings.SetLoadField(l, n.ReportFields[i], x)
	}
	return l
}
