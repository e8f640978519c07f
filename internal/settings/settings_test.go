package settings

import (
	"reflect"
	"testing"

	"mintkeel/router"
)

// The same settings given as the wire's key-value pairs and as nested JSON are read as equal facts.
func TestPairsAndNestedJSONAreReadAlike(t *testing.T) {
	pairs := Values{"kinds": "a,b", "family_info.size_cores": "8,4", "family_info.holds_tables": "false,true",
		"services.count": "2", "services": "", "services.0.name": "x", "services.0.effect": "free",
		"services.0.promise_ns": "1500000", "services.1.name": "y", "services.1.effect": "guarded",
		"services.1.dedup_scope": "all", "services.1.bound_to": "b", "accounts": "", "accounts.count": "1",
		"accounts.0.name": "big_one", "accounts.0.quota_per_s": "2.5", "contract.resend_span_ns": "1e9", "zone": ""}
	nested := map[string]any{"kinds": []any{"a", "b"}, "zone": nil,
		"family_info": map[string]any{"size_cores": []any{8.0, 4.0}, "holds_tables": []any{false, true}},
		"services": []any{map[string]any{"name": "x", "effect": "free", "promise_ns": 1500000},
			map[string]any{"name": "y", "effect": "guarded", "dedup_scope": "all", "bound_to": []any{"b"}}},
		"accounts": []any{map[string]any{"name": "big_one", "quota_per_s": 2.5}},
		"contract": map[string]any{"resend_span_ns": 1e9}}
	if flat := Flatten(nested); !reflect.DeepEqual(flat["services.1.bound_to"], "b") {
		t.Errorf("flattened settings %v, want services.1.bound_to to be \"b\"", flat)
	}
	fromPairs, err := Read(pairs)
	fromNested, nestedErr := Read(Flatten(nested))
	if err != nil || nestedErr != nil || !reflect.DeepEqual(fromPairs, fromNested) {
		t.Errorf("pairs are read as %+v, %v\nnested JSON as %+v, %v", fromPairs, err, fromNested, nestedErr)
	}
	if class := fromPairs.Classes[1]; !reflect.DeepEqual(class.Kinds, []router.KindID{1}) || !class.LocksTables || fromPairs.Classes[0].LatencyObjective != 1.5 ||
		!fromPairs.SafetyLimits.RetryBudgeted || fromPairs.Tenants[fromPairs.Names.Tenants["big_one"]].QueriesPerSecond != 2.5 || fromPairs.Names.MachineKind("none") != -1 {
		t.Errorf("facts %+v differ from the settings", fromPairs)
	}
}
