package membership

import (
	"context"
	"slices"

	"mintkeel/internal/core/fleet/members"
)

// watch measures the time until all running controllers know of an event.
type watch struct {
	known   func(*members.Table) bool
	from    float64 // ms, time of the event
	done    float64 // ms after from, when all knew; 0: not yet
	pending []*controller
}

// deathWatch watches until no controller takes this run of the dead controller to be alive or suspect.
func (s *simulation) deathWatch(dead *controller) *watch {
	id, run := dead.id, dead.run
	return s.newWatch(func(t *members.Table) bool {
		m, known := t.Lookup(id)
		return !known || m.Run != run || m.State > members.Suspect
	})
}

// startWatch watches until all controllers take this run of the started controller to be alive or suspect.
func (s *simulation) startWatch(started *controller) *watch {
	id, run := started.id, started.run
	return s.newWatch(func(t *members.Table) bool {
		m, known := t.Lookup(id)
		return known && m.Run == run && m.State <= members.Suspect
	})
}

func (s *simulation) newWatch(known func(*members.Table) bool) *watch {
	return &watch{known: known, from: s.now, pending: s.running()}
}

// poll removes the controllers that know of the event from pending. When none is left, it checks all running controllers,
// because one may have started in the meantime.
func (w *watch) poll(s *simulation) {
	if w.done > 0 {
		return
	}
	heard := func(c *controller) bool { return c.table == nil || w.known(c.table) }
	if w.pending = slices.DeleteFunc(w.pending, heard); len(w.pending) > 0 {
		return
	}
	if w.pending = slices.DeleteFunc(s.running(), heard); len(w.pending) == 0 {
		w.done = s.now - w.from
	}
}

// runUntilDone runs until all watches are done, for a time in ms at most.
func (s *simulation) runUntilDone(ctx context.Context, watches []*watch, timeout float64) error {
	for end := s.now + timeout; s.now < end; {
		if err := s.runUntil(ctx, s.now+pollInterval); err != nil {
			return err
		}
		waiting := 0
		for _, w := range watches {
			if w.poll(s); w.done == 0 {
				waiting++
			}
		}
		if waiting == 0 {
			return nil
		}
	}
	return nil
}

// convergenceWatch watches until each running controller takes exactly the running controllers to be alive.
func (s *simulation) convergenceWatch() *watch {
	return s.newWatch(func(t *members.Table) bool {
		for _, c := range s.controllers {
			m, known := t.Lookup(c.id)
			alive := known && m.State == members.Alive
			if alive != (c.table != nil) || alive && m.Run != c.run {
				return false
			}
		}
		return true
	})
}

// watchTimeout bounds the time until an event is known, which should take seconds.
const watchTimeout = 600_000.0 // ms

// times returns the times of watches in ms. A watch that is not done counts as watchTimeout.
func times(watches []*watch) (list []float64) {
	for _, w := range watches {
		if w.done == 0 {
			list = append(list, watchTimeout)
		} else {
			list = append(list, w.done)
		}
	}
	return list
}
