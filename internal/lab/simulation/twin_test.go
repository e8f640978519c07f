package simulation

import (
	"fmt"
	"testing"

	"mintkeel/internal/lab/reference"
	"mintkeel/router"
)

// The module takes the actions that it took before its structures for a thousand engines, event by
// event: in every simulation, and in some made larger, where all is full, queues are long and
// engines come and go by the dozen.
func TestAsReference(t *testing.T) {
	const simulations, parts = simulationsPlayed, 8
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < simulations; seed += parts {
				s := FromSeed(seed)
				s.ArrivalWaits = false // the reference has no admission by waits
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

// twin makes controllers of the module beside the reference.
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
