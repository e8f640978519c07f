package sharedstatistics

import (
	"cmp"
	"context"
	"slices"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/memory"
	"mintkeel/router"
)

// collect takes out the controller's own statistics for a requester, in a goroutine. A request that
// comes before the last one's statistics were sent is dropped.
func (j *Job) collect(requester members.ID) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.collecting || j.collected != nil || j.host.Source == nil {
		return
	}
	j.collecting = true
	j.requester = requester
	j.group.Go(func() {
		data := j.readSource()
		j.mu.Lock()
		defer j.mu.Unlock()
		j.collecting = false
		j.collected = data
	})
}

// readSource reads the controller's statistics, a part at a time so that the loop goes on serving,
// and encodes them. It returns nil where they can't be had in time.
func (j *Job) readSource() []byte {
	ctx, cancel := context.WithTimeout(j.ctx, collectTimeout)
	defer cancel()
	var collected router.Statistics
	part := memory.Part{More: true}
	for part.More && collected.Len() < maxRecords {
		var err error
		part, err = j.host.Source.Statistics(ctx, part.Next, partRecords)
		if err != nil {
			return nil
		}
		collected.Add(part.Statistics)
	}
	return encodeBounded(&collected, maxSnapshotBytes)
}

// encodeBounded encodes statistics in a number of bytes at most: table groups with the least demand
// are left out, and some engines. It sorts and shortens the lists of the statistics.
func encodeBounded(statistics *router.Statistics, maxBytes int) []byte {
	slices.SortStableFunc(statistics.Tables, func(a, b router.TableStatistics) int {
		return cmp.Compare(b.Demand, a.Demand)
	})
	for {
		data, err := memory.EncodeStatistics(statistics)
		if err != nil {
			return nil
		}
		if len(data) <= maxBytes || len(statistics.Tables)+len(statistics.Engines) == 0 {
			return data
		}
		statistics.Tables = statistics.Tables[:len(statistics.Tables)/2]
		statistics.Engines = statistics.Engines[:len(statistics.Engines)*3/4]
	}
}

// sendCollected sends statistics that were taken out to the controller that asked for them.
func (j *Job) sendCollected(jobContext job.Context) {
	j.mu.Lock()
	data := j.collected
	requester := j.requester
	j.collected = nil
	j.mu.Unlock()
	if data == nil {
		return
	}
	ownStatistics := &snapshot{Settings: j.host.Settings, Now: j.clock(), Data: data}
	if requester == jobContext.Self() {
		j.addReport(requester, ownStatistics)
		return
	}
	sendMessage(jobContext, requester, message{Snapshot: ownStatistics})
}
