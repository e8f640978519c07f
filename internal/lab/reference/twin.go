package reference

import (
	"fmt"
	"slices"

	"mintkeel/router"
)

// Twin steps the module and the reference on the same events. It returns the actions of the module, and reports the first
// step in which those of the reference differ.
type Twin struct {
	*router.Router
	reference *Router
	steps     int
	// called at most once
	Differs  func(step int, now float64, events []router.Event, module, reference []router.Action)
	reported bool
}

// NewTwin returns a module and a reference, both made with the parameters of router.New.
func NewTwin(seed int64, identity router.Identity, kinds []router.MachineKind, classes []router.QueryClass, tenants []router.Tenant,
	capabilities router.Capabilities, limits router.SafetyLimits) *Twin {
	return &Twin{Router: router.New(seed, identity, kinds, classes, tenants, capabilities, limits),
		reference: New(seed, identity, kinds, classes, tenants, capabilities, limits)}
}

// Step steps both, and returns the actions of the module.
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

// Difference describes the first difference between two lists of actions, or returns "none".
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
			return fmt.Sprintf("action %d (of %d and %d): module %T%+v, reference %T%+v", i, len(module), len(reference), a, a, b, b)
		}
	}
	return "none"
}
