package controller

import (
	"log/slog"

	"mintkeel/router"
)

// Counts holds the loop's counters since its start.
type Counts struct {
	Accepted        int64 // queries passed to the module
	Answered        int64 // queries answered with the result of an attempt
	Rejected        int64 // queries rejected by the module
	Failed          int64 // queries failed by the module
	Disconnected    int64 // queries whose client disconnected before the answer
	Duplicates      int64 // queries failed as their id was in flight already; not in Accepted
	QueueFull       int64 // queries rejected as the arrivals were full; not in Accepted
	Open            int64 // queries without a final answer at this time
	Attempts        int64
	Cancels         int64 // of attempts
	HealthChecks    int64
	EndpointUpdates int64
	Stalls          int64                       // times without a turn, after which inputs were read
	Outcomes        [router.Withdrawn + 1]int64 // of attempts
}

// outcomeNames maps outcomes to their log keys. Operators' tools parse them, so they are stable.
var outcomeNames = [router.Withdrawn + 1]string{
	router.Succeeded:       "answered",
	router.Errored:         "errored",
	router.EngineFull:      "full",
	router.TimedOut:        "timed_out",
	router.ConnectFailed:   "refused",
	router.ConnectionReset: "reset",
	router.Cancelled:       "cancelled",
	router.NotSent:         "not_sent",
	router.Withdrawn:       "withdrawn",
}

// LogValue returns the counters for the log. docs/oncall.md documents the keys and operators' tools
// parse them; they are mapped to the glossary's terms only here.
func (c Counts) LogValue() slog.Value {
	var outcomes []slog.Attr
	for outcome, n := range c.Outcomes {
		outcomes = append(outcomes, slog.Int64(outcomeNames[outcome], n))
	}
	return slog.GroupValue(
		slog.Int64("taken", c.Accepted),
		slog.Int64("answered", c.Answered),
		slog.Int64("shed", c.Rejected),
		slog.Int64("failed", c.Failed),
		slog.Int64("left", c.Disconnected),
		slog.Int64("duplicate", c.Duplicates),
		slog.Int64("refused", c.QueueFull),
		slog.Int64("open", c.Open),
		slog.Int64("sends", c.Attempts),
		slog.Int64("cancels", c.Cancels),
		slog.Int64("probes", c.HealthChecks),
		slog.Int64("news", c.EndpointUpdates),
		slog.Int64("stalls", c.Stalls),
		slog.Attr{Key: "ends", Value: slog.GroupValue(outcomes...)},
	)
}

// Counts requests the counters from the loop and waits for them.
func (l *Loop) Counts() Counts {
	reply := make(chan Counts, 1)
	l.post(countsRequest{reply})
	return <-reply
}

// currentCounts returns the counters, completed by those that are not kept in l.counts.
func (l *Loop) currentCounts() Counts {
	counts := l.counts
	counts.QueueFull = l.queueFull.Load()
	for _, q := range l.queries {
		if !q.answered {
			counts.Open++
		}
	}
	return counts
}
