package memory

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// sizes are numbers of engines; there are ten table groups for each.
var sizes = []int{10, 100, 1000}

// statisticsOf returns statistics of so many engines, and their endpoints.
func statisticsOf(engines int) (router.Statistics, []router.Endpoint) {
	l := router.Statistics{}
	var list []router.Endpoint
	for i := range engines {
		id := router.EngineID(fmt.Sprintf("s-%08x", i))
		l.Engines = append(l.Engines, router.EngineStatistics{At: 1e6, Engine: id, Slowdown: router.WeightedMean{Mean: 1.5, Weight: 2},
			ThreadsPerCore: 2.25, Outcomes: 0xff, PoolLeader: id})
		list = append(list, router.Endpoint{Engine: id})
	}
	for i := range 10 * engines {
		l.Tables = append(l.Tables, router.TableStatistics{At: 1e6, Tables: router.TableGroup(i), Demand: float64(i%7) + 1,
			MemoryTime: 100, PoolLeaders: []router.EngineID{l.Engines[i%engines].Engine}})
	}
	return l, list
}

// newRouter returns a router with restored statistics.
func newRouter(l router.Statistics, list []router.Endpoint) *router.Router {
	r := router.New(1, router.Identity{}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}}, nil, nil, router.Capabilities{}, router.SafetyLimits{})
	r.Step(1e6, []router.Event{router.EndpointsUpdated{Complete: true, Endpoints: list}, router.StatisticsRestored{Statistics: l}})
	return r
}

// BenchmarkCopyStatistics copies all statistics in parts, as a snapshot does.
func BenchmarkCopyStatistics(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, list := statisticsOf(n)
			l.Tables = l.Tables[:min(len(l.Tables), 3000)] // taking in more is not what is measured
			m := newRouter(l, list)
			b.ReportAllocs()
			for b.Loop() {
				for from, more := (router.Cursor{}), true; more; {
					_, from, more = m.Statistics(from, 256)
				}
			}
		})
	}
}

// BenchmarkSelect decides what of a snapshot still counts.
func BenchmarkSelect(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, list := statisticsOf(n)
			m := &restore.Snapshot{Owner: me, Statistics: l}
			b.ReportAllocs()
			for b.Loop() {
				restore.Select(m, me, list, 1e6+5000, restore.DefaultHalfLives())
			}
		})
	}
}

// BenchmarkTakeIn measures the step in which the router restores all statistics at once.
func BenchmarkTakeIn(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, list := statisticsOf(n)
			selected, _ := restore.Select(&restore.Snapshot{Owner: me, Statistics: l}, me, list, 1e6, restore.DefaultHalfLives())
			for b.Loop() {
				newRouter(selected, list)
			}
		})
	}
}

// BenchmarkWriteAndRead writes and reads a snapshot on the file system.
func BenchmarkWriteAndRead(b *testing.B) {
	for _, n := range sizes {
		l, _ := statisticsOf(n)
		dir := disk.Folder(b.TempDir())
		f, err := snapshots.Open(dir, FileBounds(testLimits))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("write/", n), func(b *testing.B) {
			for b.Loop() {
				size, err := f.Write(func(add snapshots.AddFunc) error {
					head, _ := encoder.Marshal(headerForm{Name: "n3", Settings: 77})
					if err := add(sectionHeader, head); err != nil {
						return err
					}
					return encodeRecords(&l, add)
				})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(size), "bytes/file")
			}
		})
		b.Run(fmt.Sprint("read/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := Load(dir, FileBounds(testLimits)); err != nil {
					b.Fatal(err)
				}
			}
		})
		f.Close()
	}
}
