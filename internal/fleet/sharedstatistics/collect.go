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

// collect reads the controller's own statistics for a requester, in a goroutine. It drops a request
// that arrives before the statistics for the last one were sent.
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

// readSource reads the controller's statistics in parts, so that the loop can serve in between, and
// encodes them. It returns nil if they can't be read in time.
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

// encodeBounded encodes statistics in at most maxBytes. If they are larger, it leaves out the table
// groups with the least demand and some engines. It sorts and truncates the lists of the
// statistics.
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

// sendCollected sends statistics that were read to the controller that requested them.
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
