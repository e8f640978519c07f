package limits

import "time"

// Limits bounds the resources that the network code holds and how long it waits.
//
// For sets every field. Only tests use zero: a size or count of zero admits nothing, and a duration
// of zero ends at once. Fields for which zero has another meaning document it.
type Limits struct {
	// Client connections.

	// ClientConnections is the maximum number of client connections, whether or not they have sent a
	// query.
	ClientConnections int
	// ClosingConnections is the maximum number of connections, on top of ClientConnections, that are
	// being rejected or closed.
	ClosingConnections int
	// ClientMessageBytes is the maximum size of a client's message, and of what a client may pipeline
	// behind an open query.
	ClientMessageBytes int
	// ClientReadBufferBytes is the size of a connection's read buffer until a message needs more.
	ClientReadBufferBytes int
	// ClientDrainBytes is the maximum that is read and discarded from a client whose connection is
	// being closed, so that the client can still read the last answer or error.
	ClientDrainBytes int64
	// AcceptRetryDelay is the delay after a failed accept: the process may be out of descriptors for a
	// moment.
	AcceptRetryDelay time.Duration
	// FirstQueryTimeout is the time from connecting to the first complete query. A client that sends
	// none must be rejected or closed within 3 s.
	FirstQueryTimeout time.Duration
	// ClientMessageTimeout is the time for the rest of a message once its first byte was read.
	ClientMessageTimeout time.Duration
	// ClientIdleTimeout is the time between two queries. Clients close their idle connections
	// themselves after 4 s.
	ClientIdleTimeout time.Duration
	// NewConnectionGrace is how long a connection must have been idle, or new, before it may be
	// evicted for another one. With zero, every idle connection may be evicted.
	NewConnectionGrace time.Duration
	// ClientWriteTimeout is the time for writing an answer to a client.
	ClientWriteTimeout time.Duration
	// AnswerAllowance is subtracted from a client's timeout, up to an eighth of it, because the answer
	// still has to reach the client.
	AnswerAllowance time.Duration
	// ClientCloseTimeout is the time for a client to close its side of a connection that is being
	// closed, and for the start-up message of a connection that is being rejected.
	ClientCloseTimeout time.Duration
	// EarlyCancelWindow is how long before its query a cancel request may arrive and still apply to
	// it.
	EarlyCancelWindow time.Duration

	// Connections to engines.

	// EngineConnections is the maximum number of connections to all engines together.
	EngineConnections int
	// AnswerHeaderBytes is the maximum size of the header of an engine's answer.
	AnswerHeaderBytes int
	// PageBytes is the maximum size of a page of a result.
	PageBytes int
	// ResultPages is the maximum number of pages of a result.
	ResultPages int
	// ResultBytes is the maximum size of a result.
	ResultBytes int
	// EngineQueueBytes is the maximum number of bytes that wait to be written to one connection.
	EngineQueueBytes int
	// EngineWriteTimeout is the time for a write to an engine.
	EngineWriteTimeout time.Duration
	// ConnectTimeout is the time for connecting to an engine or to discovery. Zero is no limit for
	// engines.
	ConnectTimeout time.Duration
	// EngineIdleTimeout is the time after which an unused connection is closed. It is shorter than the
	// engine's own: an attempt sent while the engine closes the connection would count as possibly
	// run.
	EngineIdleTimeout time.Duration
	// MinIdleBeforeEviction is how long a connection must be unused before it may be evicted for one
	// to another engine, so that two engines don't evict each other in turn. With zero, every unused
	// connection may be evicted.
	MinIdleBeforeEviction time.Duration
	// PingTimeout is the time for an engine to answer a ping. Each cancel is followed by one.
	PingTimeout time.Duration
	// PingAfter is how long an engine with an open attempt may be silent before it is pinged.
	PingAfter time.Duration
	// AnswerTimeout is the time for the rest of an answer once its first bytes were read.
	AnswerTimeout time.Duration
	// QueryIDReuseDelay is how long after its client's timeout the id of a query is not reused on a
	// connection.
	QueryIDReuseDelay time.Duration

	// Discovery and the event loop.

	// DiscoveryFrameBytes is the maximum size of a frame of the discovery stream.
	DiscoveryFrameBytes int
	// DiscoverySilenceTimeout is the time without a frame after which the connection is replaced.
	// Discovery sends a frame once a second.
	DiscoverySilenceTimeout time.Duration
	// EndpointListExpiry is the time since the last frame, or since the address of discovery changed,
	// after which the endpoint list expires.
	EndpointListExpiry time.Duration
	// EndpointListExpiryDisconnected is the time since the connection to discovery broke after which
	// the endpoint list expires.
	EndpointListExpiryDisconnected time.Duration
	// DiscoveryRetryDelay is the minimum time between two connection attempts to discovery.
	DiscoveryRetryDelay time.Duration
	// EventQueueLength is the maximum number of events, and of new queries, that wait for the event
	// loop. When it is reached, senders of events wait and new queries are rejected.
	EventQueueLength int

	// The process.

	// ConfigReadTimeout is the time for reading a changed configuration. No other signal is handled
	// meanwhile.
	ConfigReadTimeout time.Duration
	// LogInterval is the minimum time between two log lines about the same engine or the same fault.
	// With zero, each is logged.
	LogInterval time.Duration
	// DrainTimeout is the time for every query to be answered, from the start of a graceful shutdown.
	DrainTimeout time.Duration
	// ShutdownTimeout is the time from the start of a graceful shutdown until the process exits, even
	// if queries are unanswered.
	ShutdownTimeout time.Duration
	// ShutdownLateLooks is how often a graceful shutdown looks at its sessions after ShutdownTimeout,
	// so that queries which came while the process had no turn are still answered.
	ShutdownLateLooks int
	// DrainQuietPeriod is the time without a new query after which a controller that shuts down may
	// exit early.
	DrainQuietPeriod time.Duration
	// RuntimeMemoryBytes is the memory limit of the Go runtime (debug.SetMemoryLimit), near which the
	// garbage collector runs more often. It is a soft limit.
	RuntimeMemoryBytes int64

	// Snapshots of statistics, which are written if the operator configures a directory for them.

	// SnapshotPartRecords is the maximum number of records that the event loop copies at a time.
	SnapshotPartRecords int
	// SnapshotPartPause is the pause between two such copies. Zero is no pause.
	SnapshotPartPause time.Duration
	// SnapshotBytesPerSecond bounds the bytes written per second on average: larger snapshots are
	// written less often. It must not be zero.
	SnapshotBytesPerSecond int
	// SnapshotMaxRetryDelay is the maximum delay between failed attempts to write a snapshot.
	SnapshotMaxRetryDelay time.Duration
	// SnapshotReadTimeout is the time for reading the directory at start, during which clients wait.
	SnapshotReadTimeout time.Duration
	// SnapshotSectionBytes is the maximum size of a section of a snapshot file. A copy of
	// SnapshotPartRecords records fits, whatever the length of their ids.
	SnapshotSectionBytes int
	// SnapshotSections is the maximum number of sections of a snapshot file.
	SnapshotSections int
	// SnapshotFileBytes is the maximum size of a snapshot file. Reading one takes several times as
	// much memory.
	SnapshotFileBytes int64
}
