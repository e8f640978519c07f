// Package request defines a query in flight, the one object that packages clients, controller and
// engines share. Package clients fills it in and waits for its answer, the event loop of package
// controller finishes it, and package engines reads its statement.
//
// The exported fields of Query don't change once it is passed to the event loop, except for
// RouterID, which the loop sets before it passes the query on. The answer is guarded by a mutex,
// which is never held during I/O.
package request

import (
	"sync"
	"time"

	"mintkeel/internal/core/rules"
	"mintkeel/router"
)

// Verdict is the kind of a query's answer.
type Verdict int

const (
	// Unanswered queries have no final answer yet.
	Unanswered Verdict = iota
	// Succeeded queries have rows.
	Succeeded
	// Rejected queries had no effect, or may run again: the client may retry them.
	Rejected
	// Failed queries may or may not have had their effect; the client can't assume either.
	Failed
	// Disconnected queries need no result: their client has disconnected, or has cancelled them.
	Disconnected
)

// Answer is a query's final answer.
type Answer struct {
	Verdict    Verdict
	Pages      [][]byte      // of Succeeded: rows as the engine sent them
	RetryAfter time.Duration // of Rejected: how long the client should wait; 0: not specified
}

// Query is a query that was read completely from its client.
type Query struct {
	RouterID          router.QueryID     // set by the event loop; 0 until then
	ID                string             // assigned by the client, and sent to engines
	Class             router.ClassID     // the client's, or that of the operator's rules
	ClassName         string             // as sent by the client, and sent to engines
	Tenant            router.TenantID    // -1: none
	IdempotencyKey    string             // engines discard a repeat with the same key; empty: none
	OrderingKey       router.OrderingKey // as sent by the client, or by the rules; empty: none
	EstimatedWork     float64            // ms on one thread; 0: no estimate
	EstimateCap       float64            // ms, by the operator's rules; 0: none
	EstimatedMemoryMB float64            // 0: no estimate
	Tables            router.TableGroup
	Kinds             []router.KindID // by the operator's rules; nil: not narrowed
	Zones             []router.Zone   // by the operator's rules; nil: not narrowed
	Hot               bool            // by the operator's rules: its table group gets more engines
	Statement         []byte          // sent to engines

	// RuleInput is the input of the query to the operator's rules; nil if rules can't be set.
	RuleInput *rules.Query

	FirstOnConnection bool      // no query was executed before it on its connection
	ReadAt            time.Time // when it was read completely or, if pipelined, first seen

	// TimeLeft is the time from ReadAt until the query must be answered, which is a little before the
	// client's own timeout.
	TimeLeft time.Duration
	// ClientTimeout is how long clients wait for a query of this class, by the settings. It counts
	// from when the client issues the query, which it may queue before sending it.
	ClientTimeout time.Duration

	mu       sync.Mutex
	answer   Answer
	onAnswer func() // nil: not set
}

// OnAnswer sets a function that is called once, when there is a final answer. It must not block,
// and must be set before the query is passed to the event loop.
func (q *Query) OnAnswer(notify func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.onAnswer = notify
}

// Finish sets the final answer and reports whether it is the first one. A later answer has no
// effect: a disconnect, the end of an attempt and a timeout may coincide, and the client must not
// get two answers.
func (q *Query) Finish(answer Answer) bool {
	q.mu.Lock()
	first := q.answer.Verdict == Unanswered
	if first {
		q.answer = answer
	}
	notify := q.onAnswer
	q.mu.Unlock()
	if first && notify != nil {
		notify()
	}
	return first
}

// Answer returns the final answer; its verdict is Unanswered until there is one.
func (q *Query) Answer() Answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answer
}
