package memory

import (
	"fmt"
	"testing"

	"mintkeel/internal/core/restore"
	"mintkeel/internal/store/disk"
	"mintkeel/internal/store/snapshots"
	"mintkeel/router"
)

// engineCounts are the measured numbers of engines, each with ten table groups per engine.
var engineCounts = []int{10, 100, 1000}

// benchmarkStatistics returns statistics of a number of engines, and their endpoints.
func benchmarkStatistics(engines int) (router.Statistics, []router.Endpoint) {
	statistics := router.Statistics{}
	var endpoints []router.Endpoint
	for i := range engines {
		id := router.EngineID(fmt.Sprintf("s-%08x", i))
		statistics.Engines = append(statistics.Engines, router.EngineStatistics{At: 1e6, Engine: id, Slowdown: router.WeightedMean{Mean: 1.5, Weight: 2},
			ThreadsPerCore: 2.25, Outcomes: 0xff, PoolLeader: id})
		endpoints = append(endpoints, router.Endpoint{Engine: id})
	}
	for i := range 10 * engines {
		statistics.Tables = append(statistics.Tables, router.TableStatistics{At: 1e6, Tables: router.TableGroup(i), Demand: float64(i%7) + 1,
			MemoryTime: 100, PoolLeaders: []router.EngineID{statistics.Engines[i%engines].Engine}})
	}
	return statistics, endpoints
}

// routerWithStatistics returns a router that has restored the statistics.
func routerWithStatistics(statistics router.Statistics, endpoints []router.Endpoint) *router.Router {
	r := router.New(1, router.Identity{}, []router.MachineKind{{Cores: 8, MemoryMB: 1000}}, nil, nil, router.Capabilities{}, router.SafetyLimits{})
	r.Step(1e6, []router.Event{router.EndpointsUpdated{Complete: true, Endpoints: endpoints}, router.StatisticsRestored{Statistics: statistics}})
	return r
}

// BenchmarkCopyStatistics copies all statistics in parts, as the snapshot writer does.
func BenchmarkCopyStatistics(b *testing.B) {
	for _, n := range engineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			statistics, endpoints := benchmarkStatistics(n)
			statistics.Tables = statistics.Tables[:min(len(statistics.Tables), 3000)] // restoring more would only slow the setup
			r := routerWithStatistics(statistics, endpoints)
			b.ReportAllocs()
			for b.Loop() {
				for from, more := (router.Cursor{}), true; more; {
					_, from, more = r.Statistics(from, 256)
				}
			}
		})
	}
}

// BenchmarkSelect selects the records of a snapshot that are still valid.
func BenchmarkSelect(b *testing.B) {
	for _, n := range engineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			statistics, endpoints := benchmarkStatistics(n)
			stored := &restore.Snapshot{Owner: owner, Statistics: statistics}
			b.ReportAllocs()
			for b.Loop() {
				restore.Select(stored, owner, endpoints, 1e6+5000, restore.DefaultHalfLives())
			}
		})
	}
}

// BenchmarkTakeIn measures the step in which the router restores all statistics.
func BenchmarkTakeIn(b *testing.B) {
	for _, n := range engineCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			statistics, endpoints := benchmarkStatistics(n)
			selected, _ := restore.Select(&restore.Snapshot{Owner: owner, Statistics: statistics}, owner, endpoints, 1e6, restore.DefaultHalfLives())
			for b.Loop() {
				routerWithStatistics(selected, endpoints)
			}
		})
	}
}

// BenchmarkWriteAndRead writes and reads a snapshot on the file system.
func BenchmarkWriteAndRead(b *testing.B) {
	for _, n := range engineCounts {
		statistics, _ := benchmarkStatistics(n)
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
					return encodeRecords(&statistics, add)
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
