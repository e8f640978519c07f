package standin

import "slices"

// Traffic is what came to an engine and went from it, counted by kind. Bytes are those of lines and bodies, without
// headers of lower layers.
type Traffic struct {
	Queries      int // attempts that came
	QueryBytes   int
	Pings        int // questions whether a connection works, or how loaded the engine is
	PingBytes    int
	Cancels      int // attempts given up
	CancelBytes  int
	Answers      int // of attempts
	AnswerBytes  int
	ReportBytes  int // of the load reports inside answers, part of AnswerBytes
	Replies      int // to pings
	ReplyBytes   int
	Opened       int // connections
	Open         int // connections now
	MostOpen     int // connections at one time
	Unrecognized int // lines of another kind
}

// Control is the number of frames and bytes that are neither a query's attempt nor its answer; undos are control, as
// they belong to attempts that were given up.
func (t Traffic) Control() (frames, bytes int) {
	return t.Pings + t.Cancels + t.Replies, t.PingBytes + t.CancelBytes + t.ReplyBytes
}

// Sub is the traffic since an earlier count; Open and MostOpen are as they are now.
func (t Traffic) Sub(earlier Traffic) Traffic {
	t.Queries -= earlier.Queries
	t.QueryBytes -= earlier.QueryBytes
	t.Pings -= earlier.Pings
	t.PingBytes -= earlier.PingBytes
	t.Cancels -= earlier.Cancels
	t.CancelBytes -= earlier.CancelBytes
	t.Answers -= earlier.Answers
	t.AnswerBytes -= earlier.AnswerBytes
	t.ReportBytes -= earlier.ReportBytes
	t.Replies -= earlier.Replies
	t.ReplyBytes -= earlier.ReplyBytes
	t.Opened -= earlier.Opened
	t.Unrecognized -= earlier.Unrecognized
	return t
}

// Traffic is what was counted so far.
func (e *Engine) Traffic() Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	traffic := e.traffic
	traffic.Open = len(e.conns)
	return traffic
}

// Watch has begun called with the id of each attempt that the engine reads whole, before it runs.
func (e *Engine) Watch(onAttempt func(id string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onAttempt = onAttempt
}

// Running are the ids of the attempts that run now.
func (e *Engine) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	var ids []string
	for _, r := range e.runs {
		ids = append(ids, r.id)
	}
	slices.Sort(ids)
	return ids
}

// Hang has the engine read on without answering anything, as a process that hangs does; its connections stay. It
// returns the ids of the attempts that ran at that moment.
func (e *Engine) Hang() []string {
	e.mu.Lock()
	e.hung = true
	e.mu.Unlock()
	return e.Running()
}

// countReceived counts a line of so many bytes, with its body.
func (e *Engine) countReceived(word string, bytes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := &e.traffic
	switch word {
	case "do":
		t.Queries++
		t.QueryBytes += bytes
	case "ping":
		t.Pings++
		t.PingBytes += bytes
	case "undo":
		t.Cancels++
		t.CancelBytes += bytes
	default:
		t.Unrecognized++
	}
}

// countAnswer counts an answer that is about to be written, and tells whether it may be.
func (e *Engine) countAnswer(ping bool, bytes, report int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.hung {
		return false
	}
	t := &e.traffic
	if ping {
		t.Replies++
		t.ReplyBytes += bytes
		return true
	}
	t.Answers++
	t.AnswerBytes += bytes
	t.ReportBytes += report
	return true
}
