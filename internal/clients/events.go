package clients

import "mintkeel/internal/request"

// Event is an event that the server reports: one of the types below.
type Event interface{ event() }

type (
	// QueryArrived carries a query that a client has sent.
	QueryArrived struct{ Query *request.Query }
	// ClientDisconnected says that the client of an open query has disconnected or has cancelled the
	// query, which needs no answer any more.
	ClientDisconnected struct{ Query *request.Query }
)

func (QueryArrived) event()       {}
func (ClientDisconnected) event() {}
