package main

import (
	"fmt"
	"strconv"
	"strings"

	"mintkeel/internal/simwire"
	"mintkeel/router"
)

// names turn the wire's names into the module's ids.
type names struct {
	kinds    map[string]router.KindID
	profiles map[string]router.ProfileID
	tenants  map[string]router.TenantID
	fields   []string // of a load report
	bills    bool
}

// options reads settings and keeps the first error. An absent key is its zero value.
type options struct {
	values simwire.Options
	line   int
	err    error
}

func (o *options) float(key string) float64 {
	text := o.values[key]
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil && o.err == nil {
		o.err = &simwire.FieldError{Line: o.line, Field: key, Why: fmt.Sprintf("%q is no number", text)}
	}
	return x
}

func (o *options) ms(key string) float64 { return o.float(key) / 1e6 }
func (o *options) int(key string) int    { return int(o.float(key)) }
func (o *options) has(key string) bool   { _, found := o.values[key]; return found }

func (o *options) bool(key string) bool {
	text := o.values[key]
	if text != "" && text != "true" && text != "false" && text != "1" && text != "0" && o.err == nil {
		why := fmt.Sprintf("%q is neither true nor false", text)
		o.err = &simwire.FieldError{Line: o.line, Field: key, Why: why}
	}
	return text == "true" || text == "1"
}

func (o *options) list(key string) []string {
	if o.values[key] == "" {
		return nil
	}
	return strings.Split(o.values[key], ",")
}

// at is the i-th value of a list of plain values.
func (o *options) at(key string, i int) string {
	if list := o.list(key); i < len(list) {
		return list[i]
	}
	return ""
}

func (o *options) floatAt(key string, i int) float64 {
	text := o.at(key, i)
	x, err := strconv.ParseFloat(text, 64)
	if err != nil && text != "" && o.err == nil {
		o.err = &simwire.FieldError{Line: o.line, Field: key, Why: fmt.Sprintf("%q is no number", text)}
	}
	return x
}

var (
	effects = map[string]router.Effect{"free": router.Replayable, "guarded": router.Uniqued,
		"single_shot": router.NonReplayable}
	scopes = map[string]router.Scope{"all": router.ScopeAll, "zone": router.ScopeZone, "cell": router.ScopeCell}
	states = map[int64]router.State{2: router.Ready, 0: router.Draining, 3: router.Gone}
	notes  = map[int64]router.NoteKind{1: router.NoteProgress, 2: router.NoteSpills, 3: router.NoteWaitsMemory}

	outcomes = map[string]router.Outcome{"done": router.Answered, "err": router.Errored, "busy": router.Full,
		"etimedout": router.TimedOut, "econnrefused": router.Refused, "econnreset": router.Reset,
		"ecanceled": router.Cancelled, "skipped": router.NotSent}
)

func start(line int, up simwire.Up) (*instance, error) {
	o := &options{values: up.Options, line: line}
	n := names{kinds: map[string]router.KindID{}, profiles: map[string]router.ProfileID{},
		tenants: map[string]router.TenantID{}, fields: o.list("report.fields"), bills: o.bool("family_info.bills")}
	var kinds []router.Kind
	for i, name := range o.list("kinds") {
		n.kinds[name] = router.KindID(i)
		kinds = append(kinds, router.Kind{Cores: o.floatAt("family_info.size_cores", i),
			MemoryMB: o.floatAt("family_info.size_mb", i)})
	}
	var profiles []router.Profile
	for i := range o.int("services.count") {
		p, err := n.profile(o, i)
		if err != nil {
			return nil, err
		}
		profiles = append(profiles, p)
	}
	var tenants []router.Tenant
	for i := range o.int("accounts.count") {
		at := fmt.Sprintf("accounts.%d.", i)
		n.tenants[o.values[at+"name"]] = router.TenantID(i)
		tenants = append(tenants, router.Tenant{PerSecond: o.float(at + "quota_per_s")})
	}
	place := router.Place{Controllers: o.int("n_instances"), Number: o.int("me"),
		Zone: router.Zone(o.values["zone"])}
	allowed := router.Allowed{Cancel: o.bool("bounds.cancel"), Probes: o.bool("bounds.probes"),
		SecondCopies: o.bool("bounds.parallel_tries"), RetryAfter: o.bool("bounds.retry_after"),
		NotePace: o.ms("family_info.progress_pace_ns"), MaxSends: o.int("bounds.send_cap"),
		MaxRetryAfter: o.ms("bounds.max_retry_after_ns"), MustAsk: o.values["registry_mode"] == "subscribe"}
	guards := router.Guards{Round: o.ms("round_ns"), ColdShare: o.float("contract.cold_share"),
		ColdTime: o.ms("contract.cold_ns"), ColdMultiple: o.float("contract.overload_factor"),
		ColdWindow: o.ms("contract.tip_after_ns"), OrderRest: o.ms("contract.order_settle_ns"),
		Budgeted: o.has("contract.resend_span_ns"), ResendFree: o.float("contract.budget_free"),
		ResendShare: o.float("contract.resend_ratio"), ResendWindow: o.ms("contract.resend_span_ns"),
		AskWithin: o.ms("contract.ask_within_ns"), OverShare: o.float("over_share_worth")}
	if o.err != nil {
		return nil, o.err
	}
	return &instance{names: n,
		module: router.New(int64(up.Nonce), place, kinds, profiles, tenants, allowed, guards)}, nil
}

func (n *names) profile(o *options, i int) (router.Profile, error) {
	at := fmt.Sprintf("services.%d.", i)
	n.profiles[o.values[at+"name"]] = router.ProfileID(i)
	effect, known := effects[o.values[at+"effect"]]
	if !known {
		return router.Profile{}, &simwire.FieldError{Line: o.line, Field: at + "effect", Why: "is not known"}
	}
	scope, known := scopes[o.values[at+"dedup_scope"]]
	if !known && effect == router.Uniqued {
		return router.Profile{}, &simwire.FieldError{Line: o.line, Field: at + "dedup_scope", Why: "is not known"}
	}
	p := router.Profile{Effect: effect, Scope: scope, RepeatWindow: o.ms(at + "repeat_window_ns"),
		InOrder: o.bool(at + "in_order"), Target: o.ms(at + "promise_ns"),
		TargetStretch: o.float(at + "aim_stretch"), Timeout: o.ms(at + "hard_limit_ns"),
		LateShare:   o.float(at + "late_worth"),
		Threads:     max(1, o.floatAt("family_info.width_by_class", i)),
		HoldsTables: o.at("family_info.holds_tables", i) == "true",
		Waits:       o.at("family_info.class_waits", i) == "true"}
	if o.has(at + "bound_to") {
		p.Kinds = []router.KindID{}
	}
	for _, name := range o.list(at + "bound_to") {
		if kind, known := n.kinds[name]; known {
			p.Kinds = append(p.Kinds, kind)
		}
	}
	if o.has(at + "failure_domains_allowed") {
		p.Zones = []router.Zone{}
	}
	for _, name := range o.list(at + "failure_domains_allowed") {
		p.Zones = append(p.Zones, router.Zone(name))
	}
	return p, nil
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
		listed := router.Listed{Whole: b.Scope == 1 || b.Scope == 2, Cached: b.Scope == 2, Failed: b.Scope == 3}
		for _, item := range b.Items {
			state, known := states[item.State]
			if !known {
				return nil, unknown("state", strconv.FormatInt(item.State, 10))
			}
			kind, known := n.kinds[item.Shape]
			if !known {
				kind = -1
			}
			listed.Entries = append(listed.Entries, router.Entry{Engine: router.EngineID(item.Executor), State: state,
				Zone: router.Zone(item.Zone), Kind: kind, Cell: router.CellID(item.Cluster),
				Since: float64(item.Since) / 1e6})
		}
		return listed, nil
	case simwire.Incoming:
		profile, known := n.profiles[b.Band]
		if !known {
			return nil, unknown("band", b.Band)
		}
		tenant, known := n.tenants[b.Project]
		if !known {
			tenant = -1
		}
		estimate := b.Estimate
		if b.Flags&1 == 0 {
			estimate = 0
		}
		return router.Arrived{ID: router.CommandID(b.ID), Tenant: tenant, Profile: profile,
			Tables: router.TableGroup(b.TableGroup), Key: router.OrderKey(b.Relation), Left: float64(b.Left) / 1e6,
			Estimate: float64(estimate) / 1e6, NeedMB: max(0, b.MemoryMB)}, nil
	case simwire.Opened:
		return router.Began{ID: router.CommandID(b.ID), Send: router.SendID(b.Go)}, nil
	case simwire.Signal:
		kind, known := notes[b.What]
		if !known {
			kind = router.NoteOther
		}
		if b.What == 3 && b.Level == 2 {
			kind = router.NoteWaitsTables
		}
		return router.Noted{ID: router.CommandID(b.ID), Send: router.SendID(b.Go), What: kind, Level: b.Level}, nil
	case simwire.AttemptEnd:
		outcome, known := outcomes[b.Reason]
		if !known {
			return nil, unknown("reason", b.Reason)
		}
		ended := router.Ended{ID: router.CommandID(b.ID), Send: router.SendID(b.Go), Outcome: outcome, Over: b.Over,
			Took: float64(b.Took) / 1e6, Load: n.load(b.Feedback)}
		if n.bills && outcome == router.Answered && b.TrueCost > 0 {
			ended.Work, ended.NeedMB = float64(b.TrueCost/4096), float64(b.TrueCost%4096)*4
		}
		return ended, nil
	case simwire.Vanished:
		return router.Left{ID: router.CommandID(b.ID)}, nil
	case simwire.Bell:
		return router.Woke{}, nil
	case simwire.Probed:
		outcome, known := outcomes[b.Reason]
		if !known {
			return nil, unknown("reason", b.Reason)
		}
		return router.Probed{Engine: router.EngineID(b.Executor), Outcome: outcome, Load: n.load(b.Feedback)}, nil
	}
	return nil, nil
}

func (n *names) load(row []float64) *router.Load {
	if row == nil {
		return nil
	}
	l := &router.Load{Inflight: -1, Util: -1, Memory: -1, Disk: -1}
	for i, x := range row {
		if i >= len(n.fields) {
			break
		}
		switch n.fields[i] {
		case "inflight":
			l.Inflight = x
		case "util":
			l.Util = x
		case "x0":
			l.Memory = x
		case "x1":
			l.Disk = x
		}
	}
	return l
}
