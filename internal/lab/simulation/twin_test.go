package simulation

import (
	"fmt"
	"testing"

	"mintkeel/internal/lab/reference"
	"mintkeel/router"
)

// The module takes the same actions at each step as the reference, which is the module before its
// data structures for a thousand engines. Some simulations are made larger, so that engines are full,
// queues are long and many engines start and end.
func TestAsReference(t *testing.T) {
	const simulations, parts = simulationsPlayed, 8
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < simulations; seed += parts {
				s := FromSeed(seed)
				s.ArrivalWaits = false // the reference does not use arrival waits for admission
				name := "simulation"
				if seed%12 == 3 {
					s, name = s.Larger(), "larger simulation"
				}
				Play(s, s.twin(func(step int, now float64, module, old []router.Action) {
					t.Errorf("%s %d, step %d at %v: %s", name, seed, step, now, reference.Difference(module, old))
				}))
			}
		})
	}
}

// twin returns a function that makes controllers of the module which run beside the reference; differs
// is called for a step with different actions.
func (s Spec) twin(differs func(step int, now float64, module,
	old []router.Action)) func(int64, router.Identity) Controller {
	return func(seed int64, place router.Identity) Controller {
		f := s.Settings
		t := reference.NewTwin(seed, place, f.Kinds, f.Classes, nil, f.Capabilities, f.Limits)
		t.Differs = func(step int, now float64, _ []router.Event, module, old []router.Action) {
			differs(step, now, module, old)
		}
		return t
	}
}
