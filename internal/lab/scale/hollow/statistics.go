package hollow

import (
	"context"
	"fmt"
	"time"

	"mintkeel/internal/memory"
	"mintkeel/router"
)

// statistics stands in for the statistics that a controller's decision module has learned, on a number of engines and table
// groups, with values in a realistic range.
type statistics struct{ engines, tableGroups int }

// firstStart is the start time of the first engine's process in Unix milliseconds, the same at each controller.
const firstStart = 1.7e12

// machineKinds is the number of machine kinds. Each table group has one pool leader per kind.
const machineKinds = 2

// Statistics implements memory.Source. It returns all statistics in one part.
func (s statistics) Statistics(context.Context, router.Cursor, int) (memory.Part, error) {
	now := float64(time.Now().UnixMilli())
	learned := router.Statistics{Traffic: []router.TrafficStatistics{{At: now, Share: router.WeightedMean{Mean: 0.01, Weight: 100}}}}
	for i := range s.engines {
		learned.Engines = append(learned.Engines, router.EngineStatistics{At: now, Engine: engine(i), StartedAt: firstStart + float64(i)*1000,
			Slowdown: router.WeightedMean{Mean: 1 + float64(i%100)/70, Weight: 50}, ThreadsPerCore: 4 + float64(i%13)/3, Outcomes: 0xff,
			PoolLeader: engine(i / machineKinds * machineKinds)})
	}
	for i := range s.tableGroups {
		group := router.TableStatistics{At: now, Tables: router.TableGroup(i + 1), Demand: 1 + float64(i%977)/31,
			MemoryTime: 100 + float64(i%613)/7}
		for range min(machineKinds, s.engines) {
			group.PoolLeaders = append(group.PoolLeaders, engine(i*machineKinds%s.engines))
		}
		learned.Tables = append(learned.Tables, group)
	}
	return memory.Part{Statistics: learned}, nil
}

// engine returns the name of an engine, which is as long as the operators' names.
func engine(i int) router.EngineID { return router.EngineID(fmt.Sprintf("s-%08x", i+1)) }
