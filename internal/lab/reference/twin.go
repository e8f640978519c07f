package reference

import (
	"fmt"
	"slices"

	"mintkeel/router"
)

// Twin steps the module and the reference on the same events. It orders what the module orders, and remembers the first
// step at which the two did not order the same.
type Twin struct {
	*router.Router
	reference *Router
	steps     int
	Differs   func(step int, now float64, events []router.Event, module, reference []router.Action) // reported once
	reported  bool
}

// NewTwin is as router.New.
func NewTwin(seed int64, identity router.Identity, kinds []router.MachineKind, classes []router.QueryClass, tenants []router.Tenant,
	capabilities router.Capabilities, limits router.SafetyLimits) *Twin {
	return &Twin{Router: router.New(seed, identity, kinds, classes, tenants, capabilities, limits),
		reference: New(seed, identity, kinds, classes, tenants, capabilities, limits)}
}

// Step has both decide.
func (t *Twin) Step(now float64, events []router.Event) []router.Action {
	t.steps++
	want := t.reference.Step(now, slices.Clone(events))
	got := t.Router.Step(now, events)
	if !t.reported && !slices.Equal(got, want) && t.Differs != nil {
		t.reported = true
		t.Differs(t.steps, now, events, got, want)
	}
	return got
}

// Difference prints where two lists of actions part.
func Difference(module, reference []router.Action) string {
	for i := range max(len(module), len(reference)) {
		var a, b router.Action
		if i < len(module) {
			a = module[i]
		}
		if i < len(reference) {
			b = reference[i]
		}
		if a != b {
			return fmt.Sprintf("action %d of %d and %d: module %T%+v, reference %T%+v", i, len(module), len(reference), a, a, b, b)
		}
	}
	return "none"
}
