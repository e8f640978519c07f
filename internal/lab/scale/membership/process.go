package membership

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/lab/scale/slope"
)

const measuredTables = 16 // tables whose memory is measured together

// processorTime returns the processor time that the process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// processorRow measures the processor time of fleets at rest. Nothing else may run in the process at the same time.
func processorRow(ctx context.Context, o Options) (slope.Row, error) {
	row := slope.Row{Role: "controller", Cost: "membership: processor time", Unit: "cores", Per: "controllers",
		Condition: atRest.name, Method: "virtual time", Target: controllers, Budget: coresBudget,
		Note: "protocol, encoding, decoding, frames' authentication, and the simulation's own queue; without the kernel's part; " + budgetNote}
	for _, size := range o.sizes() {
		s, err := warmUp(ctx, plan{size, o.Seed, farLatency})
		if err != nil {
			return row, err
		}
		s.decode = true
		before, err := processorTime()
		if err != nil {
			return row, err
		}
		if err := s.runUntil(ctx, s.now+measuredTime); err != nil {
			return row, err
		}
		after, err := processorTime()
		if err != nil {
			return row, err
		}
		cores := (after - before).Seconds() / (measuredTime / 1000) / float64(size)
		row.Points = append(row.Points, slope.Point{Size: float64(size), Value: cores})
	}
	return row, nil
}

// memoryRow measures the heap of tables that know all members of a fleet.
func memoryRow(o Options) (slope.Row, error) {
	row := slope.Row{Role: "controller", Cost: "membership: memory of the table", Unit: "MB", Per: "controllers",
		Condition: atRest.name, Method: "benchmark", Target: controllers, Budget: 128, Note: budgetNote}
	for _, size := range o.sizes() {
		bytes, err := tableBytes(size)
		if err != nil {
			return row, err
		}
		row.Points = append(row.Points, slope.Point{Size: float64(size), Value: bytes / bytesPerMB})
	}
	return row, nil
}

// tableBytes returns the heap of one table, as the mean of several. Each has learned of all members from decoded messages, as
// in a daemon.
func tableBytes(size int) (float64, error) {
	payloads, err := introductions(size)
	if err != nil {
		return 0, err
	}
	before := heapBytes()
	tables := make([]*members.Table, measuredTables)
	for i := range tables {
		self := members.Member{ID: "self", Addr: "10.0.0.1:7400", Run: 1}
		tables[i] = members.New(self, nil, members.DefaultConfig(), int64(i), 0)
		for _, payload := range payloads {
			var m node.Message
			if err := frames.Decoder.Unmarshal(payload, &m); err != nil {
				return 0, err
			}
			tables[i].Receive(1, "n0", *m.Members)
		}
	}
	after := heapBytes()
	runtime.KeepAlive(tables)
	return float64(after-before) / measuredTables, nil
}

// introductions returns encoded messages that contain all members of a fleet.
func introductions(size int) (payloads [][]byte, err error) {
	part := members.DefaultConfig().MaxSyncMembers
	for from := 0; from < size; from += part {
		m := members.Message{Kind: members.Sync}
		for n := from; n < min(size, from+part); n++ {
			m.Updates = append(m.Updates, members.Member{ID: members.ID(fmt.Sprintf("n%d", n)), Addr: fmt.Sprintf("10.0.%d.%d:7400", n/250, n%250),
				Run: uint64(n)<<32 + 1, Willing: true})
		}
		payload, err := cbor.Marshal(node.Message{Members: &m})
		if err != nil {
			return nil, err
		}
		payloads = append(payloads, payload)
	}
	return payloads, nil
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
