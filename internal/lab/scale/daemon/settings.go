package daemon

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"mintkeel/internal/lab/standin"
)

// The model of an emulated engine. It is large, so that no row measures the effect of full engines.
const (
	engineCores  = 64.0
	engineMemory = 256000.0 // MB
	engineSlots  = 1 << 20
	warmGroups   = 1 << 10
)

// Limits of a daemon, and the query classes.
const (
	Memory   = 2048 // MB
	Cores    = 1.0
	Deadline = 8 * time.Second // of every query

	LookupClass = "lookup" // idempotent
	LoadClass   = "load"   // deduplicated
	WriteClass  = "write"  // non-idempotent
	ReportClass = "report" // idempotent, long

	initialSequence    = 1
	maxDescriptors     = 1 << 20
	defaultDescriptors = 1024 // if the system's limit is unknown
)

// object is a nested JSON object of the configuration.
type object = map[string]any

// DescriptorLimit returns the descriptor limit of a process on this machine.
func DescriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	return int(min(limit.Cur, maxDescriptors))
}

// NewEngine starts an emulated engine with the name and size that the daemons' settings expect.
func NewEngine(number int, seed int64) (*standin.Engine, error) {
	model := standin.Model{Cores: engineCores, Slow: 1, Sessions: engineSlots, Warm: warmGroups, ColdCost: 1}
	return standin.NewEngine(fmt.Sprintf("s-%08x", number), model, seed)
}

// Settings returns the settings of a deployment with the given number of controllers and a query class of each effect.
func Settings(controllers int, probes bool) map[string]any {
	class := func(name, effect string, objective time.Duration) object {
		return object{"name": name, "effect": effect, "dedup_scope": "all", "repeat_window_ns": int64(time.Minute),
			"promise_ns": int64(objective), "hard_limit_ns": int64(Deadline), "late_worth": 0.3}
	}
	const soon, later = 500 * time.Millisecond, 6 * time.Second
	return object{
		"n_instances": controllers, "zone": "east", "failure_domains": []string{"east"}, "kinds": []string{"std"},
		"report": object{"fields": []string{"util", "inflight"}},
		"family_info": object{"size_cores": []float64{engineCores}, "size_mb": []float64{engineMemory},
			"width_by_class": []int{1, 1, 1, 1}},
		"bounds": object{"cancel": true, "probes": probes, "send_cap": 3, "connect_timeout_ns": int64(250 * time.Millisecond),
			"max_streams": 100, "retry_after": true, "max_retry_after_ns": int64(500 * time.Millisecond)},
		"contract": object{"cold_share": 0.5, "cold_ns": int64(2 * time.Second), "overload_factor": 4,
			"tip_after_ns": int64(time.Second)},
		"services": []object{class(LookupClass, "free", soon), class(LoadClass, "guarded", soon),
			class(WriteClass, "single_shot", soon), class(ReportClass, "free", later)},
	}
}

// WriteConfiguration writes the configuration file of a daemon that listens at addr and returns its path.
func (o Options) WriteConfiguration(addr string) (string, error) {
	var hosts []object
	for _, e := range o.Engines {
		hosts = append(hosts, object{"host": e.ID, "dial": e.Addr, "site": "east", "class": "std", "health": "active"})
	}
	roster := object{"seq": initialSequence, "whole": true, "hosts": hosts}
	text, err := json.Marshal(object{
		"name": o.Name, "listen": addr, "seed": fmt.Sprintf("%016x", uint64(o.Seed)), "bulletin": o.DiscoveryAddr,
		"limits":   object{"cores": Cores, "memory_mb": Memory, "sockets": DescriptorLimit()},
		"known":    object{"no": initialSequence, "items": []object{{"no": initialSequence, "roster": roster}}},
		"settings": Settings(o.Controllers, o.Probes),
	})
	if err != nil {
		return "", err
	}
	path := filepath.Join(o.Folder, "config.json")
	return path, os.WriteFile(path, text, 0o600)
}
