package settings

import (
	"fmt"
	"time"

	"mintkeel/router"
)

// Facts is the parsed settings. Durations are in ms, except for those of Connections.
type Facts struct {
	Identity     router.Identity
	MachineKinds []router.MachineKind // by router.KindID
	Classes      []router.QueryClass  // by router.ClassID
	Tenants      []router.Tenant      // by router.TenantID
	Capabilities router.Capabilities
	SafetyLimits router.SafetyLimits
	Names        Names
	Connections  Connections
}

// Names maps names used on the wires to ids of package router, and back.
type Names struct {
	MachineKinds    map[string]router.KindID
	Classes         map[string]router.ClassID
	Tenants         map[string]router.TenantID
	MachineKindAt   []string // names by router.KindID
	ZoneAt          []string // names of the zones
	ReportFields    []string // names of the fields of a load report, in their order
	AnswersHaveCost bool     // engines' answers include the cost of the query
}

// MachineKind returns the id of a machine kind; -1 if the settings have no kind of this name.
func (n *Names) MachineKind(name string) router.KindID {
	if kind, known := n.MachineKinds[name]; known {
		return kind
	}
	return -1
}

// Connections has the settings of connections to engines.
type Connections struct {
	// ConnectTimeout bounds the time to establish a connection. 0: the default of limits.For.
	ConnectTimeout time.Duration
	// IdleTimeout is the time after which engines close an unused connection. 0: the default of
	// limits.For.
	IdleTimeout time.Duration
	// AttemptsPerConnection is the number of concurrent attempts on one connection. 0: the default of
	// package engines.
	AttemptsPerConnection int
}

// NewRouter returns the decision module of a controller with these settings.
func (f *Facts) NewRouter(seed int64) *router.Router {
	return router.New(seed, f.Identity, f.MachineKinds, f.Classes, f.Tenants, f.Capabilities,
		f.SafetyLimits)
}

// Read parses settings. The error is a *FieldError of the first value that can't be used, in the
// order in which Read reads them.
func Read(values Values) (*Facts, error) {
	p := &parser{values: values}
	f := &Facts{Names: p.names()}
	p.machineKinds(f)
	p.classes(f)
	p.tenants(f)
	f.Identity = p.identity()
	f.Capabilities = p.capabilities()
	f.SafetyLimits = p.safetyLimits()
	f.Connections = p.connections()
	return f, p.err
}

func (p *parser) names() Names {
	return Names{
		MachineKinds:    map[string]router.KindID{},
		Classes:         map[string]router.ClassID{},
		Tenants:         map[string]router.TenantID{},
		MachineKindAt:   p.list("kinds"),
		ZoneAt:          p.list("failure_domains"),
		ReportFields:    p.list("report.fields"),
		AnswersHaveCost: p.bool("family_info.bills"),
	}
}

func (p *parser) machineKinds(f *Facts) {
	for i, name := range f.Names.MachineKindAt {
		f.Names.MachineKinds[name] = router.KindID(i)
		f.MachineKinds = append(f.MachineKinds, router.MachineKind{
			Cores:    p.floatItem("family_info.size_cores", i),
			MemoryMB: p.floatItem("family_info.size_mb", i),
		})
	}
}

func (p *parser) classes(f *Facts) {
	for i := range p.count("services") {
		prefix := fmt.Sprintf("services.%d.", i)
		f.Names.Classes[p.values[prefix+"name"]] = router.ClassID(i)
		f.Classes = append(f.Classes, p.class(prefix, i, &f.Names))
	}
}

func (p *parser) tenants(f *Facts) {
	for i := range p.count("accounts") {
		prefix := fmt.Sprintf("accounts.%d.", i)
		f.Names.Tenants[p.values[prefix+"name"]] = router.TenantID(i)
		f.Tenants = append(f.Tenants, router.Tenant{QueriesPerSecond: p.float(prefix + "quota_per_s")})
	}
}

func (p *parser) identity() router.Identity {
	return router.Identity{
		Controllers: p.int("n_instances"),
		Index:       p.int("me"),
		Zone:        router.Zone(p.values["zone"]),
	}
}

func (p *parser) capabilities() router.Capabilities {
	return router.Capabilities{
		Cancel:           p.bool("bounds.cancel"),
		HealthChecks:     p.bool("bounds.probes"),
		Hedging:          p.bool("bounds.parallel_tries"),
		RetryAfter:       p.bool("bounds.retry_after"),
		ProgressInterval: p.milliseconds("family_info.progress_pace_ns"),
		MaxAttempts:      p.int("bounds.send_cap"),
		MaxRetryAfter:    p.milliseconds("bounds.max_retry_after_ns"),
		PollEndpoints:    p.values["registry_mode"] == "subscribe",
	}
}

func (p *parser) safetyLimits() router.SafetyLimits {
	return router.SafetyLimits{
		EventInterval:     p.milliseconds("round_ns"),
		SlowStartCapacity: p.float("contract.cold_share"),
		SlowStartTime:     p.milliseconds("contract.cold_ns"),
		SlowStartOverload: p.float("contract.overload_factor"),
		SlowStartWindow:   p.milliseconds("contract.tip_after_ns"),
		OrderingCooldown:  p.milliseconds("contract.order_settle_ns"),
		RetryBudgeted:     p.has("contract.resend_span_ns"),
		RetryBudgetMin:    p.float("contract.budget_free"),
		RetryBudgetRatio:  p.float("contract.resend_ratio"),
		RetryBudgetWindow: p.milliseconds("contract.resend_span_ns"),
		PollWithin:        p.milliseconds("contract.ask_within_ns"),
		OverQuotaBenefit:  p.float("over_share_worth"),
	}
}

func (p *parser) connections() Connections {
	return Connections{
		ConnectTimeout:        time.Duration(p.float("bounds.connect_timeout_ns")),
		IdleTimeout:           time.Duration(p.float("bounds.conn_idle_ns")),
		AttemptsPerConnection: p.int("bounds.max_streams"),
	}
}
