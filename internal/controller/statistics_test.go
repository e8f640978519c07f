package controller

import (
	"context"
	"testing"
	"time"

	"mintkeel/internal/discovery"
	"mintkeel/internal/memory"
	"mintkeel/router"
)

// The loop copies statistics in parts, and a copy does not wait forever for a loop that is not running. Stored
// statistics are restored once, with the first update that names engines.
func TestStatistics(t *testing.T) {
	l, _ := newLoop(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	engines, parts := 0, 0
	for part := (memory.Part{More: true}); part.More; parts++ {
		var err error
		if part, err = l.Statistics(ctx, part.Next, 1); err != nil || part.Statistics.Len() > 1 {
			t.Fatal(part, err)
		}
		engines += len(part.Statistics.Engines)
	}
	if engines != 1 || parts < 3 {
		t.Errorf("got %d engines in %d parts, want 1 in at least 3", engines, parts)
	}
	notRunning := New(nil, SystemClock(), 0, 0)
	shortCtx, cancelShort := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancelShort()
	if _, err := notRunning.Statistics(shortCtx, router.Cursor{}, 1); err == nil {
		t.Error("Statistics of a loop that does not run returned no error")
	}
	module := router.New(1, router.Identity{}, nil, nil, nil, router.Capabilities{}, router.SafetyLimits{})
	fresh := New(module, SystemClock(), 1, 0)
	fresh.SetEngines(&engineRecorder{})
	restores := 0
	fresh.RestoreOnFirstEndpoints(func(list []router.Endpoint) router.Statistics {
		restores++
		if len(list) != 1 {
			t.Errorf("restore was called with %d endpoints, want 1", len(list))
		}
		return router.Statistics{}
	})
	for _, entries := range [][]discovery.Endpoint{nil, {{Endpoint: router.Endpoint{Engine: "e"}}}, {{}}} {
		fresh.UpdateEndpoints(discovery.Update{Endpoints: entries}, true)
	}
	_, restored := fresh.events[2].(router.StatisticsRestored)
	if restores != 1 || len(fresh.events) != 4 || !restored {
		t.Errorf("restored %d times, events %v, want once and as the third of four events", restores, fresh.events)
	}
}
