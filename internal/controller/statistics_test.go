package controller

import (
	"context"
	"testing"
	"time"

	"mintkeel/internal/discovery"
	"mintkeel/internal/memory"
	"mintkeel/router"
)

// Statistics are copied in parts through the loop, and no copy waits for a loop that has ended. Stored
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
		t.Errorf("%d engines in %d parts", engines, parts)
	}
	notRunning := New(nil, SystemClock(), 0, 0)
	shortCtx, cancelShort := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancelShort()
	if _, err := notRunning.Statistics(shortCtx, router.Cursor{}, 1); err == nil {
		t.Error("a loop that does not run has answered")
	}
	module := router.New(1, router.Identity{}, nil, nil, nil, router.Capabilities{}, router.SafetyLimits{})
	fresh := New(module, SystemClock(), 1, 0)
	fresh.SetEngines(&engineRecorder{})
	restores := 0
	fresh.RestoreOnFirstEndpoints(func(list []router.Endpoint) router.Statistics {
		restores++
		if len(list) != 1 {
			t.Errorf("restored with %d engines", len(list))
		}
		return router.Statistics{}
	})
	for _, entries := range [][]discovery.Endpoint{nil, {{Endpoint: router.Endpoint{Engine: "e"}}}, {{}}} {
		fresh.UpdateEndpoints(discovery.Update{Endpoints: entries}, true)
	}
	_, restored := fresh.events[2].(router.StatisticsRestored)
	if restores != 1 || len(fresh.events) != 4 || !restored {
		t.Errorf("restored %d times: %v", restores, fresh.events)
	}
}
