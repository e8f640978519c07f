package clients

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"mintkeel/internal/limits"
	"mintkeel/internal/request"
)

// The server shuts down. A client with an open query gets its answer, and the answer to a query pipelined
// behind it, before its connection is closed gracefully. The server does not wait for the rest of an
// incomplete query, passes on nothing that arrives later, and rejects new connections. Shutdown returns after
// the last session has ended.
func TestShutdown(t *testing.T) {
	st := newServerTest(t, func(l *limits.Limits) { l.ClientCloseTimeout, l.ClientIdleTimeout = testTimeout, 2*testTimeout })
	busy := st.connect(startMessage, queryMessage(queryText))
	first := st.nextQuery()
	st.readUntil(busy, "Z")
	incomplete := st.connect(startMessage, queryMessage(queryText)[:12])
	st.readUntil(incomplete, "Z")
	shutdownDone := make(chan bool)
	go func() { st.server.Shutdown(time.Now().Add(testTimeout)); close(shutdownDone) }()
	if got, orderly := st.readToEnd(incomplete); got != "$" || !orderly {
		t.Errorf("incomplete query: got %s, orderly %t, want an orderly end", got, orderly)
	}
	incomplete.Write(queryMessage(queryText)[12:])
	incomplete.Close()
	late := st.connect(startMessage)
	if got, orderly := st.readToEnd(late); got != "E53300$" || !orderly {
		t.Errorf("new connection: got %s, orderly %t, want E53300$ and an orderly end", got, orderly)
	}
	late.Close()
	before := time.Now()
	busy.Write(queryMessage(queryText))
	st.waitUntil("the second query is read", func() bool {
		st.server.mu.Lock()
		defer st.server.mu.Unlock()
		return st.server.lastQueryAt.After(before)
	})
	select {
	case <-shutdownDone:
		t.Error("Shutdown returned while a query was open")
	default:
	}
	first.Finish(request.Answer{Verdict: request.Succeeded})
	pages := slices.Repeat([][]byte{bytes.Repeat([]byte("one\ttwo\tthree\n"), 400)}, 8)
	st.nextQuery().Finish(request.Answer{Verdict: request.Succeeded, Pages: pages})
	if got, orderly := st.readToEnd(busy); got != "TCZT"+strings.Repeat("D", 8*400)+"CZ$" || !orderly {
		t.Errorf("two open queries: got %s, orderly %t, want two answers and an orderly end", got, orderly)
	}
	busy.Close()
	<-shutdownDone
	st.expectNoEvent("after the shutdown")
}
