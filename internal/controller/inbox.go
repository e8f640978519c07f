package controller

import (
	"time"

	"mintkeel/internal/clients"
	"mintkeel/internal/core/rules"
	"mintkeel/internal/discovery"
	"mintkeel/internal/engines"
	"mintkeel/internal/memory"
	"mintkeel/router"
)

// message is a message in the inbox: one of the types below. The loop handles messages in the order
// in which they were posted. A request carries a buffered channel for its reply, so that the loop
// never waits for the requester.
type message interface{ message() }

type (
	// engineMessage carries an event of package engines.
	engineMessage struct{ event engines.Event }
	// clientMessage carries an event of package clients.
	clientMessage struct{ event clients.Event }
	// endpointsMessage carries an update of the endpoint list.
	endpointsMessage struct{ update discovery.Update }
	// holdMessage replaces the set of held engines; see HoldEngines.
	holdMessage struct{ engines []router.EngineID }
	// restoreMessage carries a function that returns statistics of an earlier run or of other
	// controllers.
	restoreMessage struct{ restore restoreFunc }
	// shutdownMessage starts a shutdown, in which all queries must be answered within this time.
	shutdownMessage struct{ within time.Duration }
	// closeRequest requests that all connections to engines are closed; done is closed after that.
	closeRequest struct{ done chan struct{} }
	// countsRequest requests the counters.
	countsRequest struct{ reply chan Counts }
	// engineStatusesRequest requests the state of all engines.
	engineStatusesRequest struct{ reply chan []router.EngineStatus }
	// rulesRequest requests that rules are put in force; the reply says whether they are.
	rulesRequest struct {
		rules *rules.Set
		reply chan bool
	}
	// statisticsRequest requests the part of the module's statistics that begins at a cursor.
	statisticsRequest struct {
		from       router.Cursor
		maxRecords int
		reply      chan memory.Part
	}
)

func (engineMessage) message()         {}
func (clientMessage) message()         {}
func (endpointsMessage) message()      {}
func (holdMessage) message()           {}
func (restoreMessage) message()        {}
func (shutdownMessage) message()       {}
func (closeRequest) message()          {}
func (countsRequest) message()         {}
func (engineStatusesRequest) message() {}
func (rulesRequest) message()          {}
func (statisticsRequest) message()     {}

// post puts a message into the inbox. It waits while the inbox is full, which slows down only its
// caller. The loop's own goroutine must not call it.
func (l *Loop) post(m message) { l.inbox <- m }

// PostEngineEvent posts an event of package engines. It waits while the inbox is full.
func (l *Loop) PostEngineEvent(event engines.Event) { l.post(engineMessage{event}) }

// PostClientEvent posts an event of package clients. It waits while the inbox is full.
func (l *Loop) PostClientEvent(event clients.Event) { l.post(clientMessage{event}) }

// PostEndpoints posts an update of the endpoint list. It waits while the inbox is full.
func (l *Loop) PostEndpoints(update discovery.Update) { l.post(endpointsMessage{update}) }

// Offer adds a new query to the arrivals and reports whether it was accepted. It is not accepted if
// the arrivals are full; its client may then get a rejection at once. Offer never blocks.
func (l *Loop) Offer(arrived clients.QueryArrived) bool {
	select {
	case l.arrivals <- arrived:
		return true
	default:
		l.queueFull.Add(1)
		return false
	}
}

// StartShutdown starts a shutdown, in which every query must have its answer within this time. It
// waits while the inbox is full.
func (l *Loop) StartShutdown(within time.Duration) { l.post(shutdownMessage{within}) }

// Close closes all connections to engines and waits until that is done. The loop's goroutine closes
// them, as it may be handling an update of the endpoint list at the same time. The loop keeps
// running, so that it still replies to Counts.
func (l *Loop) Close() {
	done := make(chan struct{})
	l.post(closeRequest{done})
	<-done
}

// handle handles one message. Events are passed to the module in the next step; requests get their
// reply at once.
func (l *Loop) handle(m message) {
	switch m := m.(type) {
	case engineMessage:
		l.handleEngineEvent(m.event)
	case clientMessage:
		l.handleClientEvent(m.event)
	case endpointsMessage:
		l.UpdateEndpoints(m.update, false)
	case holdMessage:
		l.hold(m.engines)
	case restoreMessage:
		l.restoreStatistics(m.restore)
	case shutdownMessage:
		l.events = append(l.events, router.ShutdownStarted{Within: milliseconds(m.within)})
	case closeRequest:
		l.engines.Close()
		close(m.done)
	case countsRequest:
		m.reply <- l.currentCounts()
	case engineStatusesRequest:
		m.reply <- l.engineStatuses()
	case rulesRequest:
		m.reply <- l.setRules(m.rules)
	case statisticsRequest:
		m.reply <- l.statistics(m.from, m.maxRecords)
	}
}

// handleEngineEvent handles an event of package engines.
func (l *Loop) handleEngineEvent(event engines.Event) {
	switch ev := event.(type) {
	case engines.AttemptEnded:
		l.attemptEnded(ev)
	case engines.AttemptProgress:
		l.attemptProgress(ev)
	case engines.HealthCheckEnded:
		l.events = append(l.events,
			router.HealthCheckEnded{Engine: ev.Engine, Outcome: ev.Outcome, Load: ev.Load})
	}
}

// handleClientEvent handles an event of package clients.
func (l *Loop) handleClientEvent(event clients.Event) {
	switch ev := event.(type) {
	case clients.QueryArrived:
		l.queryArrived(ev.Query)
	case clients.ClientDisconnected:
		l.clientDisconnected(ev.Query)
	}
}
