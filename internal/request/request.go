// Package request holds a query in flight: the one object that the clients' side and the engines'
// side share. The clients' side fills it and waits for its answer, the controller's loop finishes
// it, and the engines' side reads its statement.
//
// The exported fields of Query don't change once it is handed to the loop, but for RouterID, which
// the loop sets before it hands the query on. Its answer is guarded by a mutex, which is held for
// no I/O.
package request

import (
	"sync"
	"time"

	"mintkeel/internal/core/rules"
	"mintkeel/router"
)

// Verdict is how a query was answered.
type Verdict int

const (
	// Unanswered queries have no final answer yet.
	Unanswered Verdict = iota
	// Succeeded queries have rows.
	Succeeded
	// Rejected queries had no effect or may run again: the client may retry.
	Rejected
	// Failed queries may have had their effect or not: nothing is promised.
	Failed
	// Disconnected queries need no answer: their client has gone, or has cancelled them.
	Disconnected
)

// Answer is a query's final answer.
type Answer struct {
	Verdict    Verdict
	Pages      [][]byte      // of Succeeded: rows as the engine sent them
	RetryAfter time.Duration // of Rejected: how long the client should wait; 0: it gets no hint
}

// Query is a query that a client has sent whole.
type Query struct {
	RouterID          router.QueryID     // set by the loop; 0 until then
	ID                string             // the client's own, which engines get
	Class             router.ClassID     // of the settings
	ClassName         string             // of Class, which engines get
	Tenant            router.TenantID    // -1: none
	IdempotencyKey    string             // engines drop a repeat with the same key; empty: none
	OrderingKey       router.OrderingKey // as the client gave it; empty: none
	EstimatedWork     float64            // ms on one thread; 0: no estimate
	EstimateCap       float64            // ms, by the operator's rules; 0: none
	EstimatedMemoryMB float64            // 0: no estimate
	Tables            router.TableGroup
	Kinds             []router.KindID // by the operator's rules; nil: not narrowed
	Zones             []router.Zone   // by the operator's rules; nil: not narrowed
	Hot               bool            // by the operator's rules: its tables get several engines
	Statement         []byte          // which engines get

	// RuleInput is the query as the operator's rules see it; nil where there can be none.
	RuleInput *rules.Query

	FirstOnConnection bool      // no query came before it on its connection
	ReadAt            time.Time // when its last byte was read

	// TimeLeft is the time from ReadAt until the query must be answered, a little before its client
	// gives up.
	TimeLeft time.Duration
	// ClientTimeout is how long clients wait for a query of this class, by the settings. It counts
	// from when they want the answer, which may be before they can send the query.
	ClientTimeout time.Duration

	mu       sync.Mutex
	answer   Answer
	onAnswer func() // nil: not set yet
}

// OnAnswer has notify called once, when there is a final answer. notify must not block, and must be
// set before the query is handed to the loop.
func (q *Query) OnAnswer(notify func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.onAnswer = notify
}

// Finish gives the final answer and reports whether it is the first. No later one takes effect: a
// disconnect, the end of an attempt and a timeout may come at the same moment, and the client must
// not get two answers.
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
