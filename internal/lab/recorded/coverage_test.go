package recorded

import "mintkeel/router"

// feature is a kind of event, action or setting whose occurrences in the scenes are counted.
type feature int

const (
	listComplete feature = iota
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
	queryQueuedAtClient
	queryNarrowed
	queryHot
	keyAdded
	responseStarted
	attemptProgressed
	attemptEnded
	attemptAnswered
	attemptErrored
	attemptEngineFull
	attemptTimedOut
	attemptConnectFailed
	attemptReset
	attemptEndedCancelled
	attemptNotSent
	attemptWithdrawn
	clientDisconnected
	healthCheckEnded
	statisticsRestored
	shutdownStarted
	timerFired
	attemptStarted
	attemptWithStartBy
	retry
	hedgedRequest
	attemptCancelled
	queryRejected
	queryRejectedWithRetryAfter
	queryFailed
	timerSet
	healthCheckStarted
	listSubscribed
	sceneWithManyEngines
	sceneWithRetryBudget
	sceneWithPolledEndpoints
	sceneWithSlowStart
	sceneWithAbsurdReports
	sceneWithHostileStatistics
	featureCount // number of features
)

// featureNames are the names of the features in the test's log, in the order of the constants.
var featureNames = [featureCount]string{
	"complete lists", "cached lists", "list changes", "list failures", "expired lists",
	"draining engines", "gone engines", "started engines",
	"queries", "queries with an ordering key", "queries with further keys", "queries of a tenant",
	"queries with an estimate", "queries with a capped estimate", "queries that waited",
	"queries queued at their client",
	"queries narrowed to kinds or zones", "queries of hot tables",
	"added keys", "started responses", "progress messages", "ended attempts",
	"succeeded", "errored", "engine full", "timed out", "connect failed", "connection reset",
	"cancelled", "not sent", "withdrawn",
	"disconnected clients", "ended health checks", "restored statistics", "started shutdowns",
	"timers that fired",
	"attempts", "attempts with a latest start", "retries", "hedged requests", "cancels",
	"rejected queries", "rejected queries with a Retry-After", "failed queries", "timers",
	"health checks", "subscriptions",
	"scenes with many engines", "scenes with a retry budget", "scenes that poll the endpoint list",
	"scenes with slow start", "scenes with absurd reports", "scenes with hostile statistics",
}

// outcomeFeatures maps each outcome of an attempt to its feature.
var outcomeFeatures = map[router.Outcome]feature{
	router.Succeeded:       attemptAnswered,
	router.Errored:         attemptErrored,
	router.EngineFull:      attemptEngineFull,
	router.TimedOut:        attemptTimedOut,
	router.ConnectFailed:   attemptConnectFailed,
	router.ConnectionReset: attemptReset,
	router.Cancelled:       attemptEndedCancelled,
	router.NotSent:         attemptNotSent,
	router.Withdrawn:       attemptWithdrawn,
}

// coverage counts the occurrences of each feature.
type coverage [featureCount]int

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

// countEvents counts the features of events, and keeps the number of attempts in flight of each query.
func (m *module) countEvents(events []router.Event) {
	c := &m.recording.counts
	for _, event := range events {
		switch ev := event.(type) {
		case router.EndpointsUpdated:
			c.countEndpoints(ev)
		case router.QueryArrived:
			c.countArrival(ev)
		case router.OrderingKeyAdded:
			c.add(keyAdded, true)
		case router.ResponseStarted:
			c.add(responseStarted, true)
		case router.AttemptProgress:
			c.add(attemptProgressed, true)
		case router.AttemptEnded:
			c.add(attemptEnded, true)
			c.add(outcomeFeatures[ev.Outcome], true)
			if n, known := m.attempts[ev.ID]; known {
				n.running--
				m.attempts[ev.ID] = n
			}
		case router.ClientDisconnected:
			c.add(clientDisconnected, true)
		case router.HealthCheckEnded:
			c.add(healthCheckEnded, true)
		case router.StatisticsRestored:
			c.add(statisticsRestored, true)
		case router.ShutdownStarted:
			c.add(shutdownStarted, true)
		case router.TimerFired:
			c.add(timerFired, true)
		}
	}
}

func (c *coverage) countEndpoints(ev router.EndpointsUpdated) {
	c.add(listComplete, ev.Complete)
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
	c.add(queryQueuedAtClient, ev.ClientQueueTime > 0)
	c.add(queryNarrowed, ev.Kinds != nil || ev.Zones != nil)
	c.add(queryHot, ev.Hot)
}
