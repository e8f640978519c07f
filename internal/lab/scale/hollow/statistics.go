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

// kinds is how many kinds of engines there are, each of which has a home for a table group.
const kinds = 2

// Learned implements memory.Source, in one part.
func (s statistics) Learned(context.Context, router.Cursor, int) (memory.Part, error) {
	now := float64(time.Now().UnixMilli())
	learned := router.Learned{Traffic: []router.LearnedTraffic{{At: now, Part: router.Weighed{Mean: 0.01, Weight: 100}}}}
	for i := range s.engines {
		learned.Engines = append(learned.Engines, router.LearnedEngine{At: now, Engine: engine(i), Since: firstStart + float64(i)*1000,
			Pace: router.Weighed{Mean: 1 + float64(i%100)/70, Weight: 50}, Width: 4 + float64(i%13)/3, Outcomes: 0xff,
			Lead: engine(i / kinds * kinds)})
	}
	for i := range s.tableGroups {
		group := router.LearnedTables{At: now, Tables: router.TableGroup(i + 1), Demand: 1 + float64(i%977)/31,
			Held: 100 + float64(i%613)/7}
		for range min(kinds, s.engines) {
			group.Homes = append(group.Homes, engine(i*kinds%s.engines))
		}
		learned.Tables = append(learned.Tables, group)
	}
	return memory.Part{Learned: learned}, nil
}

// engine is the name of an engine, as long as the operators' names are.
func engine(i int) router.EngineID { return router.EngineID(fmt.Sprintf("s-%08x", i+1)) }
