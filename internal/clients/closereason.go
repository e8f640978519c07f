package clients

import "sync/atomic"

// closeReason is the reason for which a session is closed.
type closeReason int

const (
	// closeIdle closes a session whose client sent nothing for ClientIdleTimeout.
	closeIdle closeReason = iota
	// closeEvicted closes a session in favor of a new connection.
	closeEvicted
	// closeShutdown closes a session because the server drains.
	closeShutdown
	// closeEnded closes a session that has ended otherwise: its client has ended it, or has got an
	// error that ends it.
	closeEnded
	// closeReasons is the number of reasons.
	closeReasons
)

// closeCounts counts the sessions that the server has closed.
type closeCounts struct {
	byReason [closeReasons]atomic.Int64
	unread   atomic.Int64 // closed by Close, with unread input: a query among it is lost
}
