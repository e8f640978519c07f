//go:build review2

package main

// object is a JSON object.
type object = map[string]any

const msNS = 1000000

// class returns the settings of a class, times in ms.
func class(name, effect string, promise, limit, window float64, more object) object {
	c := object{"name": name, "effect": effect, "dedup_scope": "all", "promise_ns": promise * msNS,
		"hard_limit_ns": limit * msNS, "repeat_window_ns": window * msNS, "late_worth": 0.3, "worth": 1.0,
		"aim_stretch": 2.0, "stream": false}
	for key, value := range more {
		c[key] = value
	}
	return c
}

// small returns the settings of a small deployment with one controller.
func small(zones, kinds []string, cores []float64, classes []object, widths []float64, bounds, contract, family object) object {
	b := object{"cancel": true, "conn_idle_ns": 15e9, "connect_timeout_ns": 250e6, "max_retry_after_ns": 1e9,
		"max_streams": 100, "most_held": 20000, "parallel_tries": false, "peers": false, "probes": false,
		"retry_after": true, "send_cap": 3}
	c := object{"cold_ns": 14e9, "cold_share": 0.35, "drain_grace_ns": 500e6, "grace_to_answer_ns": 20e6,
		"overload_factor": 4.0, "tip_after_ns": 1e9, "ask_within_ns": 10e9}
	f := object{"size_cores": cores, "width_by_class": widths, "progress_pace_ns": 500e6, "bills": false,
		"grants_count": true, "lanes_count": false, "when_short": "queue"}
	for _, set := range []struct{ to, from object }{{b, bounds}, {c, contract}, {f, family}} {
		for key, value := range set.from {
			set.to[key] = value
		}
	}
	mb := []float64{}
	for _, n := range cores {
		mb = append(mb, 2048*n)
	}
	f["size_mb"] = mb
	services := []any{}
	for _, one := range classes {
		services = append(services, one)
	}
	return object{"bounds": b, "contract": c, "family_info": f, "services": services, "failure_domains": zones,
		"kinds": kinds, "zone": zones[0], "n_instances": 1, "me": 0, "registry_mode": "automatic", "family": "queries",
		"report": object{"fields": []string{"util", "inflight"}, "how": "piggyback"}, "round_ns": 5e6,
		"over_share_worth": 0.1, "counted_by": "request", "weights": "rough"}
}

// tacoma returns settings like those of tacoma-east.
func tacoma() object {
	return small([]string{"hall-a"}, []string{"c16", "c12"}, []float64{16, 12}, []object{
		class("lookup", "free", 1200, 6000, 6000, nil),
		class("report", "free", 1500, 15000, 15000, object{"bound_to": []string{"c16"}}),
		class("load", "guarded", 4000, 20000, 12000, object{"in_order": true, "late_worth": 0.6}),
	}, []float64{1, 2, 2}, nil, object{"order_settle_ns": 0}, nil)
}

// rosario returns settings like those of rosario-datos.
func rosario() object {
	s := small([]string{"sala-norte"}, []string{"m16", "m12"}, []float64{16, 12}, []object{
		class("consulta", "free", 600, 3000, 3000, object{"late_worth": 0.1}),
		class("informe", "free", 2000, 25000, 25000, nil),
	}, []float64{1, 2}, object{"send_cap": 5, "probes": true, "peers": true, "max_streams": 32}, nil, nil)
	s["report"] = object{"fields": []string{"util"}, "how": "piggyback"}
	return s
}

// craft returns settings like those of craft-market-regina.
func craft() object {
	s := small([]string{"hall"}, []string{"eng-8", "eng-16"}, []float64{8, 16}, []object{
		class("lookup", "free", 800, 4000, 4000, object{"late_worth": 0.1}),
		class("sales-report", "free", 3000, 25000, 25000, nil),
		class("order-load", "single_shot", 4000, 25000, 25000, nil),
	}, []float64{1, 2, 2}, object{"send_cap": 4, "conn_idle_ns": 30e9}, object{"drain_grace_ns": 250e6,
		"overload_factor": 2.5, "tip_after_ns": 3e9, "budget_free": 5, "resend_ratio": 0.2, "resend_span_ns": 5e9}, nil)
	s["report"] = object{"fields": []string{"queue", "inflight", "x0"}, "how": "piggyback"}
	return s
}
