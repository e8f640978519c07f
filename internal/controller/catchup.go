package controller

import (
	"slices"
	"time"
)

const (
	// turnInterval is how often the loop notes that the process has a turn, if nothing else happens.
	turnInterval = 20 * time.Millisecond
	// stallMS is the time in ms without a turn after which input may have come long ago. It is below
	// the 50 ms by which the platform's time limits are longer on sockets, and above turnInterval.
	stallMS = 40
	// catchUpPause is the pause between two looks at the inputs, in which other goroutines read them.
	catchUpPause = 500 * time.Microsecond
	// catchUpLooks bounds the looks: peers that go on sending must not hold up the loop.
	catchUpLooks = 40
)

// Input is a source of events whose sockets are read by other goroutines.
type Input interface {
	// HasInput reports whether something that has arrived is not handled yet. The loop calls it, and
	// it must not block.
	HasInput() bool
}

// hadNoTurn reports whether the loop had no turn since the last call, for so long that input may
// lie unread which came before what the loop was woken by.
func (l *Loop) hadNoTurn() bool {
	now := l.clock()
	gap := now - l.turnAt
	l.turnAt = now
	return gap >= stallMS
}

// catchUp lets other goroutines read the inputs, and handles what arrives, if the loop had no turn.
// The runtime wakes goroutines in no particular order: a new query might reach the loop before the
// drain or the cancel that arrived ahead of it, and the module would decide without them.
func (l *Loop) catchUp() {
	if !l.hadNoTurn() {
		return
	}
	l.counts.Stalls++
	l.drainInbox()
	for range catchUpLooks {
		if !l.hasInput() {
			break
		}
		time.Sleep(catchUpPause)
		l.drainInbox()
	}
	l.drainInbox()
	l.turnAt = l.clock()
}

// catchUpDuringStep is catchUp between a step and its actions. Only changes of the endpoint list
// are handled: the Engines then refuse attempts on an engine that has come to drain. The actions
// rely on the queries in flight, so all else is deferred until they are carried out; queries whose
// clients disconnect are marked by their sessions, and are not sent any more.
func (l *Loop) catchUpDuringStep() {
	if !l.hadNoTurn() {
		return
	}
	l.counts.Stalls++
	l.deferInbox()
	for range catchUpLooks {
		if !l.hasInput() {
			break
		}
		time.Sleep(catchUpPause)
		l.deferInbox()
	}
	l.deferInbox()
	l.turnAt = l.clock()
}

// deferInbox handles the changes of the endpoint list that are in the inbox, and defers the other
// messages, as many as the inbox can hold.
func (l *Loop) deferInbox() {
	for len(l.deferred) < cap(l.inbox) {
		select {
		case m := <-l.inbox:
			switch m.(type) {
			case endpointsMessage, holdMessage:
				l.handle(m)
			default:
				l.deferred = append(l.deferred, m)
			}
		default:
			return
		}
	}
}

// handleDeferred handles the deferred messages in order.
func (l *Loop) handleDeferred() {
	for _, m := range l.deferred {
		l.handle(m)
	}
	clear(l.deferred)
	l.deferred = l.deferred[:0]
}

// hasInput reports whether something that has arrived is not handled yet.
func (l *Loop) hasInput() bool {
	return slices.ContainsFunc(l.inputs, Input.HasInput)
}
