package sharedstatistics

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"mintkeel/internal/core/fleet/digest"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/core/restore"
	"mintkeel/internal/fleet/job"
	"mintkeel/internal/memory"
)

// gather requests the statistics of some other controllers and of this one.
func (j *Job) gather(jobContext job.Context) {
	j.collect(jobContext.Self())
	anyMember := func(members.Member) bool { return true }
	for _, peer := range j.drawPeers(jobContext, gatherPeers, anyMember) {
		sendMessage(jobContext, peer, message{RequestStatistics: true})
	}
}

// addReport adds the statistics of one controller to those of the next digest, unless that
// controller has other settings.
func (j *Job) addReport(from members.ID, received *snapshot) {
	statistics, err := memory.DecodeStatistics(received.Data)
	if err != nil || received.Settings != j.host.Settings {
		return
	}
	now := j.clock()
	digest.ShiftTimes(&statistics, now-received.Now)
	j.gathered.Add(digest.Report{From: from, At: now, Statistics: statistics})
}

// publish merges the gathered statistics and sends the digest to the voters.
func (j *Job) publish(jobContext job.Context) {
	now := j.clock()
	if j.gathered.Len(now) == 0 {
		return
	}
	merged := j.gathered.Merge(now, restore.DefaultHalfLives())
	data, err := cbor.Marshal(&snapshot{
		Settings: j.host.Settings,
		Now:      now,
		Whole:    true,
		Data:     encodeBounded(&merged, maxSnapshotBytes),
	})
	if err != nil {
		return
	}
	for _, voter := range jobContext.Voters() {
		j.effectID++
		jobContext.TryEffect(Lease, voter, j.effectID, data)
	}
}

// sendDigest sends the latest digest to a newcomer, unless the digest is older than digestLifetime
// or one was sent within digestSendInterval.
func (j *Job) sendDigest(jobContext job.Context, newcomer members.ID) {
	if j.latestDigest == nil || jobContext.Now() < j.nextDigestSendAt {
		return
	}
	age := time.Since(j.digestReceivedAt)
	if float64(age.Milliseconds()) >= digestLifetime {
		return
	}
	j.nextDigestSendAt = jobContext.Now() + digestSendInterval
	sent := *j.latestDigest
	// Advanced by the time since the digest arrived; otherwise the receiver would take its records for
	// younger than they are.
	sent.Now += float64(age.Microseconds()) / 1e3
	sendMessage(jobContext, newcomer, message{Snapshot: &sent})
}

// requestDigest requests the digest from some voters.
func (j *Job) requestDigest(jobContext job.Context) {
	for _, voter := range j.drawPeers(jobContext, newcomerPeers, isVoter(jobContext)) {
		sendMessage(jobContext, voter, message{RequestDigest: true})
	}
}

// restoreDigest restores a newcomer's statistics from the first usable digest; it ignores further
// ones.
func (j *Job) restoreDigest(received *snapshot) {
	if !j.needsDigest || received.Settings != j.host.Settings {
		return
	}
	statistics, err := memory.DecodeStatistics(received.Data)
	if err != nil {
		j.host.Log.Warn("fleet: statistics digest can't be decoded", "why", err)
		return
	}
	j.needsDigest = false
	digest.ShiftTimes(&statistics, j.clock()-received.Now)
	j.host.Log.Info("fleet: begins with what the fleet knows",
		"records", statistics.Len(), "token", received.Token)
	j.host.Restore(statistics)
}
