//go:build review

package main

import "time"

// site is a small deployment by the settings of a site.
type site struct {
	name        string
	engines     int // as many as the site file's small twin has
	controllers int // the same
	zones       []string
	kinds       []string
	tenant      string
	threads     map[string]float64 // of each class
	inflight    bool               // load reports hold it, beside util
	idle        time.Duration      // after which executors close idle connections
	settings    object
}

const (
	ms  = int64(time.Millisecond)
	sec = int64(time.Second)
)

// class returns the settings of a class.
func class(name, effect string, aim, deadline, window int64, worth, late, stretch float64, more object) object {
	c := object{"name": name, "effect": effect, "dedup_scope": "all", "repeat_window_ns": window, "promise_ns": aim,
		"hard_limit_ns": deadline, "worth": worth, "late_worth": late, "aim_stretch": stretch, "stream": false}
	for k, v := range more {
		c[k] = v
	}
	return c
}

// rosario returns a deployment by rosario-datos.toml.
func rosario() site {
	return site{name: "rosario-datos", engines: 6, controllers: 2, zones: []string{"sala-norte", "sala-sur"}, kinds: []string{"m16", "m12"},
		tenant: "litoral", threads: map[string]float64{"consulta": 1, "informe": 2}, idle: 15 * time.Second, settings: object{
			"zone": "sala-norte", "failure_domains": []string{"sala-norte", "sala-sur"},
			"kinds": []string{"m16", "m12"}, "family": "queries", "round_ns": 5 * ms, "tier": 0, "weights": "silent",
			"stages": []string{"motores-consulta"}, "counted_by": "request", "registry_mode": "automatic",
			"over_share_worth": 0.05,
			"accounts": []object{{"name": "litoral", "share": 0.46, "quota_per_s": 400}, {"name": "parana-avisos", "share": 0.35, "quota_per_s": 300},
				{"name": "cuyo-vende", "share": 0.13, "quota_per_s": 100}, {"name": "sur-clasificados", "share": 0.06, "quota_per_s": 50}},
			"report": object{"fields": []string{"util"}, "how": "piggyback"},
			"family_info": object{"size_cores": []int{16, 12}, "size_mb": []float64{32768, 24576}, "width_by_class": []int{1, 2},
				"holds_tables": []bool{false, false}, "class_waits": []bool{false, false}, "progress_pace_ns": 500 * ms,
				"grants_count": true, "lanes_count": true, "when_short": "queue", "bills": false, "grant_cap": 0.4},
			"bounds": object{"cancel": true, "probes": true, "peers": true, "send_cap": 5, "parallel_tries": false, "connect_timeout_ns": 250 * ms,
				"conn_idle_ns": 15 * sec, "max_streams": 32, "retry_after": true, "max_retry_after_ns": sec, "most_held": 20000,
				"cpu_us_per_s": 400000},
			"contract": object{"cold_share": 0.32, "cold_ns": 14 * sec, "overload_factor": 4.0, "tip_after_ns": sec,
				"drain_grace_ns": 500 * ms, "grace_to_answer_ns": 20 * ms},
			"services": []object{class("consulta", "free", 600*ms, 3*sec, 3*sec, 1, 0.1, 1.5, nil),
				class("informe", "free", 2*sec, 25*sec, 25*sec, 6, 0.3, 2.5, nil)},
		}}
}

// tacoma returns a deployment by tacoma-east.toml.
func tacoma() site {
	return site{name: "tacoma-east", engines: 6, controllers: 3, zones: []string{"hall-a", "hall-b", "hall-c"}, kinds: []string{"c16", "c12"},
		tenant: "brand-one", threads: map[string]float64{"lookup": 1, "report": 2, "load": 2, "post": 2}, inflight: true, idle: 15 * time.Second, settings: object{
			"zone": "hall-a", "failure_domains": []string{"hall-a", "hall-b", "hall-c"},
			"kinds": []string{"c16", "c12"}, "family": "queries", "round_ns": 5 * ms, "tier": 0, "weights": "rough",
			"stages": []string{"qe-fleet"}, "counted_by": "request", "registry_mode": "automatic", "over_share_worth": 0.1,
			"accounts": []object{{"name": "brand-one", "share": 0.53, "quota_per_s": 80}, {"name": "brand-two", "share": 0.47, "quota_per_s": 70}},
			"report":   object{"fields": []string{"util", "inflight"}, "how": "piggyback"},
			"family_info": object{"size_cores": []int{16, 12}, "size_mb": []float64{32768, 24576}, "width_by_class": []int{1, 2, 2},
				"holds_tables": []bool{false, false, true}, "class_waits": []bool{true, false, false}, "progress_pace_ns": 500 * ms,
				"grants_count": true, "lanes_count": false, "when_short": "queue", "bills": false, "grant_cap": 0.4},
			"bounds": object{"cancel": true, "probes": false, "peers": false, "send_cap": 3, "parallel_tries": false, "connect_timeout_ns": 250 * ms,
				"conn_idle_ns": 15 * sec, "max_streams": 100, "retry_after": true, "max_retry_after_ns": sec, "most_held": 20000,
				"cpu_us_per_s": 400000},
			"contract": object{"cold_share": 0.35, "cold_ns": 14 * sec, "overload_factor": 4.0, "tip_after_ns": sec,
				"drain_grace_ns": 500 * ms, "grace_to_answer_ns": 20 * ms, "order_settle_ns": 0},
			"services": []object{class("lookup", "free", 1200*ms, 6*sec, 6*sec, 1, 0.1, 1.5, nil),
				class("report", "free", 1500*ms, 15*sec, 15*sec, 5, 0.4, 2.5, object{"bound_to": []string{"c16"}}),
				class("load", "guarded", 4*sec, 20*sec, 12*sec, 4, 0.6, 2.5, object{"in_order": true})},
		}}
}
