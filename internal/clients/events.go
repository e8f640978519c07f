package clients

import "mintkeel/internal/request"

// Event is something that the server reports: one of the types below that has the method event.
type Event interface{ event() }

type (
	// QueryArrived is a query that a client has sent.
	QueryArrived struct{ Query *request.Query }
	// ClientDisconnected says that a query's client has gone, or has cancelled the query. It needs no
	// answer any more.
	ClientDisconnected struct{ Query *request.Query }
)

func (QueryArrived) event()       {}
func (ClientDisconnected) event() {}
