package recorded

import "mintkeel/router"

// feature is something that scenes do, or that the module does in them.
type feature int

const (
	listWhole feature = iota
	listCached
	listChanged
	listFailed
	listExpired
	engineDraining
	engineGone
	engineStarted
	queryArrived
	queryWithKey
	queryWithMoreKeys
	queryOfTenant
	queryWithEstimate
	queryWithCappedEstimate
	queryWaited
	queryLined
	queryNarrowed
	queryHot
	keyAdded
	answerBegan
	attemptNoted
	attemptEnded
	attemptAnswered
	attemptErrored
	attemptFull
	attemptTimedOut
	attemptRefused
	attemptReset
	attemptEndedCancelled
	attemptNotSent
	attemptWithdrawn
	clientLeft
	probeEnded
	statisticsRecalled
	stopPlanned
	timerFired
	attemptStarted
	attemptWithLatestBegin
	retry
	secondCopy
	attemptCancelled
	queryShed
	queryShedWithWait
	queryFailed
	timerSet
	engineProbed
	listSubscribed
	sceneWithManyEngines
	sceneWithRetryBudget
	sceneWithMustAsk
	sceneWithSlowStart
	sceneWithAbsurdReports
	sceneWithHostileStatistics
	features // their number
)

// featureNames are the names in reports, in the order of the constants.
var featureNames = [features]string{
	"whole lists", "cached lists", "list changes", "list failures", "expired lists",
	"draining engines", "gone engines", "started engines",
	"queries", "queries with an ordering key", "queries with further keys", "queries of a tenant",
	"queries with an estimate", "queries with a capped estimate", "queries that waited", "queries from a client's line",
	"queries narrowed to kinds or zones", "queries of hot tables",
	"added keys", "streamed answers", "notes", "ended attempts",
	"answered", "errored", "full", "timed out", "refused", "reset", "cancelled", "not sent", "withdrawn",
	"clients that left", "ended probes", "recalled statistics", "planned stops", "timers that fired",
	"attempts", "attempts with a latest begin", "retries", "second copies", "cancels",
	"rejected queries", "rejected queries with a wait", "failed queries", "timers", "probes", "subscriptions",
	"scenes with many engines", "scenes with a retry budget", "scenes that must ask for the list",
	"scenes with slow start", "scenes with absurd reports", "scenes with hostile statistics",
}

// outcomeFeatures are the features of outcomes.
var outcomeFeatures = map[router.Outcome]feature{
	router.Succeeded:       attemptAnswered,
	router.Errored:         attemptErrored,
	router.EngineFull:      attemptFull,
	router.TimedOut:        attemptTimedOut,
	router.ConnectFailed:   attemptRefused,
	router.ConnectionReset: attemptReset,
	router.Cancelled:       attemptEndedCancelled,
	router.NotSent:         attemptNotSent,
	router.Withdrawn:       attemptWithdrawn,
}

// coverage counts features.
type coverage [features]int

func (c *coverage) add(f feature, seen bool) {
	if seen {
		c[f]++
	}
}

func (c *coverage) merge(other coverage) {
	for f, n := range other {
		c[f] += n
	}
}

// countEvents counts the kinds of events.
func (m *module) countEvents(events []router.Event) {
	c := &m.recording.counts
	for _, event := range events {
		switch ev := event.(type) {
		case router.EndpointsUpdated:
			c.countList(ev)
		case router.QueryArrived:
			c.countArrival(ev)
		case router.OrderingKeyAdded:
			c.add(keyAdded, true)
		case router.ResponseStarted:
			c.add(answerBegan, true)
		case router.AttemptProgress:
			c.add(attemptNoted, true)
		case router.AttemptEnded:
			c.add(attemptEnded, true)
			c.add(outcomeFeatures[ev.Outcome], true)
			if n, known := m.attempts[ev.ID]; known {
				n.running--
				m.attempts[ev.ID] = n
			}
		case router.ClientDisconnected:
			c.add(clientLeft, true)
		case router.HealthCheckEnded:
			c.add(probeEnded, true)
		case router.StatisticsRestored:
			c.add(statisticsRecalled, true)
		case router.ShutdownStarted:
			c.add(stopPlanned, true)
		case router.TimerFired:
			c.add(timerFired, true)
		}
	}
}

func (c *coverage) countList(ev router.EndpointsUpdated) {
	c.add(listWhole, ev.Complete)
	c.add(listCached, ev.Cached)
	c.add(listFailed, ev.Failed)
	c.add(listExpired, ev.ExpiredFor > 0)
	c.add(listChanged, !ev.Complete && len(ev.Endpoints) > 0)
	for _, entry := range ev.Endpoints {
		c.add(engineDraining, entry.State == router.Draining)
		c.add(engineGone, entry.State == router.Gone)
		c.add(engineStarted, entry.State == router.Ready && entry.StartedAt > 0)
	}
}

func (c *coverage) countArrival(ev router.QueryArrived) {
	c.add(queryArrived, true)
	c.add(queryWithKey, ev.Key != "")
	c.add(queryWithMoreKeys, len(ev.MoreKeys) > 0)
	c.add(queryOfTenant, ev.Tenant >= 0)
	c.add(queryWithEstimate, ev.EstimatedWork > 0)
	c.add(queryWithCappedEstimate, ev.EstimateCap > 0)
	c.add(queryWaited, ev.ArrivalWait > 0)
	c.add(queryLined, ev.ClientQueueTime > 0)
	c.add(queryNarrowed, ev.Kinds != nil || ev.Zones != nil)
	c.add(queryHot, ev.Hot)
}
