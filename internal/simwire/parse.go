package simwire

import (
	"encoding/base64"
	"fmt"
	"strconv"
)

// parsers maps the names of messages on the wire to the functions that parse their fields. The
// order of fields is fixed. Unused fields are parsed too, so that malformed lines are detected.
var parsers = map[string]func(*Reader, *fields) Body{
	"up":          parseStart,
	"retire":      func(_ *Reader, f *fields) Body { return Stop{f.controller()} },
	"view":        parseEndpointsUpdated,
	"incoming":    parseQueryArrived,
	"opened":      parseResponseStarted,
	"signal":      parseAttemptProgress,
	"attempt_end": parseAttemptEnded,
	"vanished":    parseClientDisconnected,
	"bell":        func(_ *Reader, f *fields) Body { return TimerFired{f.controller()} },
	"probed":      parseHealthCheckEnded,
	"memo":        parsePeerMessage,
}

func parseEndpoint(f *fields) Endpoint {
	var e Endpoint
	e.StartedAt = f.time("since_ns")
	e.Zone = f.text("zone")
	e.MachineKind = f.text("shape")
	e.NominalCapacity = f.float("nominal")
	e.Cell = f.int("cluster")
	e.Engine = f.required("executor")
	e.State = f.natural("state", maxIndex)
	return e
}

func parseStart(_ *Reader, f *fields) Body {
	m := Start{Controller: f.controller()}
	seed := f.required("nonce64")
	var err error
	m.Seed, err = strconv.ParseUint(seed, 10, 64)
	if err != nil {
		f.fail("nonce64", fmt.Sprintf("%q is not an unsigned integer", seed))
	}
	m.Options = f.options()
	return m
}

func parseEndpointsUpdated(r *Reader, f *fields) Body {
	m := EndpointsUpdated{Controller: f.controller()}
	f.int("version")
	m.Scope = EndpointScope(f.natural("scope", int64(ScopeFailed)))
	listIndex := f.int("sheet")
	if m.Scope == ScopeFailed {
		return m
	}
	if listIndex < 0 || listIndex >= endpointListCount {
		f.fail("sheet", "is not from 0 to 15")
		return m
	}
	m.Endpoints = r.endpointLists[listIndex]
	return m
}

func parseQueryArrived(_ *Reader, f *fields) Body {
	m := QueryArrived{Controller: f.controller()}
	m.ID = f.id()
	m.Tenant = f.text("project")
	m.Flags = f.int("flags")
	m.Class = f.required("band")
	m.TableGroup = f.int("table_group")
	m.EstimatedWork = f.time("estimate_ns")
	m.TimeLeft = f.int("patience_left_ns")
	m.EstimatedMemoryMB = f.float("est_memory_mb")
	m.OrderingKey = f.text("relation")
	return m
}

func parseResponseStarted(_ *Reader, f *fields) Body {
	m := ResponseStarted{Controller: f.controller()}
	m.ID = f.id()
	m.Attempt = f.attempt()
	return m
}

func parseAttemptProgress(_ *Reader, f *fields) Body {
	m := AttemptProgress{Controller: f.controller()}
	m.ID = f.id()
	m.Attempt = f.attempt()
	f.text("executor")
	m.Kind = f.int("what")
	m.Value = f.float("level")
	return m
}

func parseAttemptEnded(_ *Reader, f *fields) Body {
	m := AttemptEnded{Controller: f.controller()}
	m.ID = f.id()
	m.Elapsed = f.int("cost_time_ns")
	m.Outcome = f.required("reason")
	m.QueryDone = f.bool("over")
	f.text("executor")
	m.Cost = f.int("true_cost")
	m.Attempt = f.attempt()
	m.LoadReport = f.floats("feedback")
	return m
}

func parseClientDisconnected(_ *Reader, f *fields) Body {
	m := ClientDisconnected{Controller: f.controller()}
	m.ID = f.id()
	return m
}

func parseHealthCheckEnded(_ *Reader, f *fields) Body {
	m := HealthCheckEnded{Controller: f.controller()}
	m.Engine = f.required("executor")
	m.Outcome = f.required("reason")
	f.int("cost_time_ns")
	m.LoadReport = f.floats("feedback")
	return m
}

func parsePeerMessage(_ *Reader, f *fields) Body {
	m := PeerMessage{f.controller()}
	f.text("by")
	if _, err := base64.StdEncoding.DecodeString(f.text("msg")); err != nil {
		f.fail("msg", "is not base64")
	}
	return m
}
