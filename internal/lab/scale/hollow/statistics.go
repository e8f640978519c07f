package hollow

import (
	"context"
	"fmt"
	"time"

	"mintkeel/internal/memory"
	"mintkeel/router"
)

// statistics stands for what a controller's decision module has learned: so many engines and table groups, with figures
// in the range of a real one's.
type statistics struct{ engines, tableGroups int }

// firstStart is when the first engine's process started, in Unix milliseconds: each controller knows the same.
const firstStart = 1.7e12

// machineKinds is how many kinds of engines there are, each of which has a home for a table group.
const machineKinds = 2

// Statistics implements memory.Source, in one part.
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

// engine is the name of an engine, as long as the operators' names are.
func engine(i int) router.EngineID { return router.EngineID(fmt.Sprintf("s-%08x", i+1)) }
