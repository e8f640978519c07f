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

// message is what the inbox holds: one of the types below. The loop handles messages in the order
// in which they were posted. A request brings a channel with room for its reply, so that the loop
// never waits for the requester.
type message interface{ message() }

type (
	// engineMessage is an event of the engines' side.
	engineMessage struct{ event engines.Event }
	// clientMessage is an event of the clients' side.
	clientMessage struct{ event clients.Event }
	// endpointsMessage is an update of the endpoint list.
	endpointsMessage struct{ update discovery.Update }
	// holdMessage replaces the engines that are treated as draining.
	holdMessage struct{ engines []router.EngineID }
	// restoreMessage brings statistics of an earlier run or of other controllers.
	restoreMessage struct{ restore restoreFunc }
	// shutdownMessage says that all queries must be answered within this time.
	shutdownMessage struct{ within time.Duration }
	// closeRequest asks for the end of all connections to engines; done is closed after it.
	closeRequest struct{ done chan struct{} }
	// countsRequest asks for the counts.
	countsRequest struct{ reply chan Counts }
	// engineStatusesRequest asks for the state of all engines.
	engineStatusesRequest struct{ reply chan []router.EngineStatus }
	// rulesRequest asks to put rules in force; the reply says whether they are.
	rulesRequest struct {
		rules *rules.Set
		reply chan bool
	}
	// statisticsRequest asks for the part of the module's statistics that begins at a cursor.
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

// post puts a message into the inbox. It waits while the inbox is full, and so slows down its
// caller alone. The loop's own goroutine must not call it.
func (l *Loop) post(m message) { l.inbox <- m }

// PostEngineEvent hands over an event of the engines' side. It waits while the inbox is full.
func (l *Loop) PostEngineEvent(event engines.Event) { l.post(engineMessage{event}) }

// PostClientEvent hands over an event of the clients' side. It waits while the inbox is full.
func (l *Loop) PostClientEvent(event clients.Event) { l.post(clientMessage{event}) }

// PostEndpoints hands over an update of the endpoint list. It waits while the inbox is full.
func (l *Loop) PostEndpoints(update discovery.Update) { l.post(endpointsMessage{update}) }

// Offer hands over a new query, or reports that the arrivals are full: then it was not accepted,
// and its client may get a rejection at once. It never blocks.
func (l *Loop) Offer(arrived clients.QueryArrived) bool {
	select {
	case l.arrivals <- arrived:
		return true
	default:
		l.queueFull.Add(1)
		return false
	}
}

// StartShutdown says that every query must have its answer within this time. It waits while the
// inbox is full.
func (l *Loop) StartShutdown(within time.Duration) { l.post(shutdownMessage{within}) }

// Close ends all connections to engines and waits for that. The loop's own goroutine does it, as an
// update of the endpoint list may be under way at that moment. The loop goes on, so that it still
// replies with its counts.
func (l *Loop) Close() {
	done := make(chan struct{})
	l.post(closeRequest{done})
	<-done
}

// handle handles one message: events go to the module with the next step, requests get their reply
// at once.
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

// handleEngineEvent handles an event of the engines' side.
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

// handleClientEvent handles an event of the clients' side.
func (l *Loop) handleClientEvent(event clients.Event) {
	switch ev := event.(type) {
	case clients.QueryArrived:
		l.queryArrived(ev.Query)
	case clients.ClientDisconnected:
		l.clientDisconnected(ev.Query)
	}
}
