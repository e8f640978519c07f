package standin

import "slices"

// Traffic counts what an engine received and sent, by kind. Bytes are those of lines and bodies, without the headers of lower
// layers.
type Traffic struct {
	Queries      int // attempts
	QueryBytes   int
	Pings        int // health checks of a connection, or requests for a load report
	PingBytes    int
	Cancels      int // cancelled attempts ("undo" in the protocol)
	CancelBytes  int
	Answers      int // to attempts
	AnswerBytes  int
	ReportBytes  int // of the load reports in answers, part of AnswerBytes
	Replies      int // to pings
	ReplyBytes   int
	Opened       int // connections that were opened
	Open         int // connections that are open now
	MostOpen     int // connections that were open at once, at most
	Unrecognized int // lines of an unknown kind
}

// Control returns the numbers of frames and bytes that are neither an attempt nor its answer. Cancellations count as control.
func (t Traffic) Control() (frames, bytes int) {
	return t.Pings + t.Cancels + t.Replies, t.PingBytes + t.CancelBytes + t.ReplyBytes
}

// Sub returns the traffic since an earlier count. Open and MostOpen keep their current values.
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

// Traffic returns the counts so far.
func (e *Engine) Traffic() Traffic {
	e.mu.Lock()
	defer e.mu.Unlock()
	traffic := e.traffic
	traffic.Open = len(e.conns)
	return traffic
}

// Watch has onAttempt called with the ID of each attempt that the engine has read completely, before it runs.
func (e *Engine) Watch(onAttempt func(id string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onAttempt = onAttempt
}

// Running returns the IDs of the attempts that run now, sorted.
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

// Hang has the engine read on without answering anything, and keep its connections, as a process that hangs does. It returns
// the IDs of the attempts that run then.
func (e *Engine) Hang() []string {
	e.mu.Lock()
	e.hung = true
	e.mu.Unlock()
	return e.Running()
}

// countReceived counts a line by its first word; bytes is the length with its body.
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

// countAnswer counts an answer before it is written. It reports false if the engine hangs, so that nothing may be written.
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
