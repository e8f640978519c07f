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

var closeReasonNames = [closeReasons]string{"idle", "evicted", "shutdown", "ended"}

// String returns the name of the reason in the log.
func (r closeReason) String() string { return closeReasonNames[r] }

// closeCounts counts the sessions that the server has closed, by reason.
type closeCounts struct {
	closed [closeReasons]atomic.Int64
	unread atomic.Int64 // with unread input, other than by closeEnded
}

// recordClose counts the close of a session. A query among unread input gets no answer. mu is held.
func (s *Server) recordClose(ses *session, reason closeReason) {
	s.counts.closes.closed[reason].Add(1)
	ses.closeReason = reason
	if ses.closedUnread {
		s.counts.closes.unread.Add(1)
	}
}
