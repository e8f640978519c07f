// Package settings reads a deployment's settings, given by key, into what the decision module takes. It owns the
// names of those keys; the simulator's adapter and the daemon both read through it.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"mintkeel/router"
)

// Values are settings by key: a list of plain values is joined by commas, a list of objects has its length under
// .count and its items under .0, .1 and so on. An absent key is its zero value.
type Values map[string]string

// Hash is a hash by which other settings are told from these.
func (v Values) Hash() uint64 {
	d := xxhash.New()
	for _, key := range slices.Sorted(maps.Keys(v)) {
		fmt.Fprintf(d, "%q=%q\n", key, v[key])
	}
	return d.Sum64()
}

// FieldError names the setting that can't be used.
type FieldError struct{ Field, Why string }

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Why) }

// Flatten brings nested JSON to the same keys.
func Flatten(nested map[string]any) Values {
	v := Values{}
	for key, item := range nested {
		v.flatten(key, item)
	}
	return v
}

func (v Values) flatten(at string, item any) {
	switch item := item.(type) {
	case map[string]any:
		for key, inner := range item {
			v.flatten(at+"."+key, inner)
		}
	case []any:
		var plain []string
		for i, inner := range item {
			if _, object := inner.(map[string]any); object {
				v.flatten(fmt.Sprintf("%s.%d", at, i), inner)
				v[at+".count"] = strconv.Itoa(i + 1)
			} else {
				plain = append(plain, strings.ReplaceAll(text(inner), ",", "_"))
			}
		}
		v[at] = strings.Join(plain, ",")
	default:
		v[at] = text(item)
	}
}

func text(item any) string {
	switch item := item.(type) {
	case nil:
		return ""
	case json.Number:
		return item.String()
	}
	return fmt.Sprint(item)
}

// Facts are what the settings say.
type Facts struct {
	Identity     router.Identity
	MachineKinds []router.MachineKind
	Classes      []router.QueryClass
	Tenants      []router.Tenant
	Capabilities router.Capabilities
	SafetyLimits router.SafetyLimits
	Names        Names
	Connections  Connections
}

// Names turn the names that stand on the wires into the module's ids.
type Names struct {
	MachineKinds    map[string]router.KindID
	Classes         map[string]router.ClassID
	Tenants         map[string]router.TenantID
	MachineKindAt   []string
	ZoneAt          []string
	ReportFields    []string // fields of a load report
	AnswersHaveCost bool     // answers tell what a command cost
}

// Connections is what the settings say of connections to engines.
type Connections struct {
	ConnectTimeout, IdleTimeout time.Duration
	AttemptsPerConnection       int // sends that one connection carries
}

// NewRouter makes the module of a controller with these facts.
func (f *Facts) NewRouter(seed int64) *router.Router {
	return router.New(seed, f.Identity, f.MachineKinds, f.Classes, f.Tenants, f.Capabilities, f.SafetyLimits)
}

// parser keeps the first error.
type parser struct {
	values Values
	err    error
}

func (o *parser) fail(key, why string) {
	if o.err == nil {
		o.err = &FieldError{key, why}
	}
}

func (o *parser) number(key, text string) float64 {
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || x != x {
		o.fail(key, fmt.Sprintf("%q is no number", text))
	}
	return x
}

func (o *parser) float(key string) float64 { return o.number(key, o.values[key]) }
func (o *parser) ms(key string) float64    { return o.float(key) / 1e6 }
func (o *parser) int(key string) int       { return int(o.float(key)) }
func (o *parser) has(key string) bool      { _, found := o.values[key]; return found }

// count is the length of a list of objects.
func (o *parser) count(key string) int {
	n := o.float(key + ".count")
	if n < 0 || n > 1e6 {
		o.fail(key+".count", "is not from 0 to a million")
		return 0
	}
	return int(n)
}

func (o *parser) bool(key string) bool {
	text := o.values[key]
	if text != "" && text != "true" && text != "false" && text != "1" && text != "0" {
		o.fail(key, fmt.Sprintf("%q is neither true nor false", text))
	}
	return text == "true" || text == "1"
}

func (o *parser) list(key string) []string {
	if o.values[key] == "" {
		return nil
	}
	return strings.Split(o.values[key], ",")
}

// at is the i-th value of a list of plain values.
func (o *parser) at(key string, i int) string {
	if list := o.list(key); i < len(list) {
		return list[i]
	}
	return ""
}

func (o *parser) floatAt(key string, i int) float64 { return o.number(key, o.at(key, i)) }

var (
	effects = map[string]router.RepeatEffect{"free": router.Idempotent, "guarded": router.Deduplicated,
		"single_shot": router.NonIdempotent}
	scopes = map[string]router.DeduplicationScope{"all": router.ScopeAll, "zone": router.ScopeZone, "cell": router.ScopeCell}
)

// Read turns settings into facts; the first that can't be used is a FieldError.
func Read(values Values) (*Facts, error) {
	o := &parser{values: values}
	f := &Facts{Names: Names{MachineKinds: map[string]router.KindID{}, Classes: map[string]router.ClassID{},
		Tenants: map[string]router.TenantID{}, MachineKindAt: o.list("kinds"), ZoneAt: o.list("failure_domains"),
		ReportFields: o.list("report.fields"), AnswersHaveCost: o.bool("family_info.bills")}}
	for i, name := range f.Names.MachineKindAt {
		f.Names.MachineKinds[name] = router.KindID(i)
		f.MachineKinds = append(f.MachineKinds, router.MachineKind{Cores: o.floatAt("family_info.size_cores", i),
			MemoryMB: o.floatAt("family_info.size_mb", i)})
	}
	for i := range o.count("services") {
		f.Classes = append(f.Classes, o.profile(i, &f.Names))
	}
	for i := range o.count("accounts") {
		at := fmt.Sprintf("accounts.%d.", i)
		f.Names.Tenants[values[at+"name"]] = router.TenantID(i)
		f.Tenants = append(f.Tenants, router.Tenant{QueriesPerSecond: o.float(at + "quota_per_s")})
	}
	f.Identity = router.Identity{Controllers: o.int("n_instances"), Index: o.int("me"), Zone: router.Zone(values["zone"])}
	f.Capabilities = router.Capabilities{Cancel: o.bool("bounds.cancel"), HealthChecks: o.bool("bounds.probes"),
		Hedging: o.bool("bounds.parallel_tries"), RetryAfter: o.bool("bounds.retry_after"),
		ProgressInterval: o.ms("family_info.progress_pace_ns"), MaxAttempts: o.int("bounds.send_cap"),
		MaxRetryAfter: o.ms("bounds.max_retry_after_ns"), PollEndpoints: values["registry_mode"] == "subscribe"}
	f.SafetyLimits = router.SafetyLimits{EventInterval: o.ms("round_ns"), SlowStartCapacity: o.float("contract.cold_share"),
		SlowStartTime: o.ms("contract.cold_ns"), SlowStartOverload: o.float("contract.overload_factor"),
		SlowStartWindow: o.ms("contract.tip_after_ns"), OrderingCooldown: o.ms("contract.order_settle_ns"),
		RetryBudgeted: o.has("contract.resend_span_ns"), RetryBudgetMin: o.float("contract.budget_free"),
		RetryBudgetRatio: o.float("contract.resend_ratio"), RetryBudgetWindow: o.ms("contract.resend_span_ns"),
		PollWithin: o.ms("contract.ask_within_ns"), OverQuotaBenefit: o.float("over_share_worth")}
	f.Connections = Connections{ConnectTimeout: time.Duration(o.float("bounds.connect_timeout_ns")),
		IdleTimeout:           time.Duration(o.float("bounds.conn_idle_ns")),
		AttemptsPerConnection: o.int("bounds.max_streams")}
	return f, o.err
}

func (o *parser) profile(i int, n *Names) router.QueryClass {
	at := fmt.Sprintf("services.%d.", i)
	n.Classes[o.values[at+"name"]] = router.ClassID(i)
	effect, known := effects[o.values[at+"effect"]]
	if !known {
		o.fail(at+"effect", "is not known")
	}
	scope, known := scopes[o.values[at+"dedup_scope"]]
	if !known && effect == router.Deduplicated {
		o.fail(at+"dedup_scope", "is not known")
	}
	p := router.QueryClass{Effect: effect, Scope: scope, DeduplicationWindow: o.ms(at + "repeat_window_ns"),
		Ordered: o.bool(at + "in_order"), LatencyObjective: o.ms(at + "promise_ns"),
		ObjectivePerWork: o.float(at + "aim_stretch"), ClientTimeout: o.ms(at + "hard_limit_ns"),
		LateBenefit:    o.float(at + "late_worth"),
		Threads:        max(1, o.floatAt("family_info.width_by_class", i)),
		LocksTables:    o.at("family_info.holds_tables", i) == "true",
		WaitsForTables: o.at("family_info.class_waits", i) == "true"}
	if o.has(at + "bound_to") {
		p.Kinds = []router.KindID{}
	}
	for _, name := range o.list(at + "bound_to") {
		if kind, known := n.MachineKinds[name]; known {
			p.Kinds = append(p.Kinds, kind)
		}
	}
	if o.has(at + "failure_domains_allowed") {
		p.Zones = []router.Zone{}
	}
	for _, name := range o.list(at + "failure_domains_allowed") {
		p.Zones = append(p.Zones, router.Zone(name))
	}
	return p
}

// MachineKind is the id of a kind's name; -1 for one that the settings don't list.
func (n *Names) MachineKind(name string) router.KindID {
	if kind, known := n.MachineKinds[name]; known {
		return kind
	}
	return -1
}

// UnknownLoad is a report that holds nothing yet.
func UnknownLoad() *router.LoadReport {
	return &router.LoadReport{Inflight: -1, Utilization: -1, Memory: -1, Disk: -1}
}

// SetLoadField files one value of a report under its name; names that no decision reads are passed over.
func SetLoadField(l *router.LoadReport, name string, x float64) {
	switch name {
	case "inflight":
		l.Inflight = x
	case "util":
		l.Utilization = x
	case "x0":
		l.Memory = x
	case "x1":
		l.Disk = x
	}
}
