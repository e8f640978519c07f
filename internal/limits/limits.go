package limits

import "time"

// Limits bounds what the network code holds and how long it waits.
//
// For sets every field. Only tests use zero: a size or count of zero admits nothing, and a time of
// zero is over when it begins. Fields for which this does not hold say so.
type Limits struct {
	// Client connections.

	// ClientConnections is the number of client connections, with or without a query so far.
	ClientConnections int
	// ClosingConnections is the number of connections above ClientConnections that are being
	// rejected or closed.
	ClosingConnections int
	// ClientMessageBytes is the size of a client's longest message.
	ClientMessageBytes int
	// ClientReadBufferBytes is the size of a connection's read buffer until a message needs more.
	ClientReadBufferBytes int
	// ClientDrainBytes is how much a rejected client may still send, so that it gets to read the
	// error, before it is closed.
	ClientDrainBytes int64
	// AcceptRetryDelay is the time from a failed accept to the next one: the process may be out of
	// descriptors for a moment.
	AcceptRetryDelay time.Duration
	// FirstQueryTimeout is the time from connecting to the first whole query. A client without one
	// must be rejected or closed in 3 s.
	FirstQueryTimeout time.Duration
	// ClientMessageTimeout is the time for the rest of a message once its first bytes were read.
	ClientMessageTimeout time.Duration
	// ClientIdleTimeout is the time between two queries. Clients close their idle connections
	// themselves after 4 s.
	ClientIdleTimeout time.Duration
	// NewConnectionGrace is the age below which a connection is not closed to make room for another
	// one. Zero spares none.
	NewConnectionGrace time.Duration
	// ClientWriteTimeout is the time for a client to take an answer.
	ClientWriteTimeout time.Duration
	// AnswerAllowance is taken off a client's timeout, at most an eighth of it, because the answer
	// still has to reach the client.
	AnswerAllowance time.Duration
	// ClientCloseTimeout is the time for a client to read that its connection ends.
	ClientCloseTimeout time.Duration
	// EarlyCancelWindow is how long ahead of its query a cancel request may arrive and still apply
	// to it.
	EarlyCancelWindow time.Duration

	// Connections to engines.

	// EngineConnections is the number of connections to all engines together.
	EngineConnections int
	// AnswerHeaderBytes is the size of the longest header of an engine's answer.
	AnswerHeaderBytes int
	// PageBytes is the size of the longest page of a result.
	PageBytes int
	// ResultPages is the number of pages of a result.
	ResultPages int
	// ResultBytes is the size of the longest result.
	ResultBytes int
	// EngineQueueBytes is how much may wait to be written to one connection.
	EngineQueueBytes int
	// EngineWriteTimeout is the time for an engine to take what is written to it.
	EngineWriteTimeout time.Duration
	// ConnectTimeout is the time for a connection to an engine or to discovery to be established. Zero
	// is no limit for engines.
	ConnectTimeout time.Duration
	// EngineIdleTimeout is the time after which an unused connection is closed. It is shorter than the
	// engine's own: an attempt that crosses the engine's close would count as possibly run.
	EngineIdleTimeout time.Duration
	// MinIdleBeforeEviction is how long a connection must be unused before it may be closed to make
	// room for one to another engine, so that two engines don't evict each other in turn. Zero
	// spares none.
	MinIdleBeforeEviction time.Duration
	// PingTimeout is the time for an engine to answer a ping. Each cancel is followed by one.
	PingTimeout time.Duration
	// PingAfter is the silence of an engine that owes an answer after which it is pinged.
	PingAfter time.Duration
	// AnswerTimeout is the time for the rest of an answer once its first bytes were read.
	AnswerTimeout time.Duration
	// QueryIDReuseDelay is the time past its client's timeout during which a query's id is not used
	// again on a connection.
	QueryIDReuseDelay time.Duration

	// Discovery and the event loop.

	// DiscoveryFrameBytes is the size of the longest frame of the discovery stream.
	DiscoveryFrameBytes int
	// DiscoverySilenceTimeout is the silence after which the stream counts as dead. The server
	// sends once a second.
	DiscoverySilenceTimeout time.Duration
	// EndpointListExpiry is the time since the stream's last frame, or since its address changed,
	// after which the endpoint list counts as expired.
	EndpointListExpiry time.Duration
	// EndpointListExpiryDisconnected is the time since the stream's connection broke after which the
	// endpoint list counts as expired.
	EndpointListExpiryDisconnected time.Duration
	// DiscoveryRetryDelay is the least time between two attempts to connect to discovery.
	DiscoveryRetryDelay time.Duration
	// EventQueueLength is the number of events, and of new queries, that may wait for the event loop.
	// Senders of events wait when it is reached, new queries are rejected.
	EventQueueLength int

	// The process.

	// ConfigReadTimeout is the time for a changed configuration to be read. No other signal is
	// handled meanwhile.
	ConfigReadTimeout time.Duration
	// LogInterval is the least time between two log lines about the same engine or the same fault.
	// Zero logs each.
	LogInterval time.Duration
	// DrainTimeout is the time for every query to be answered, from the start of a graceful shutdown.
	DrainTimeout time.Duration
	// ShutdownTimeout is the time from the start of a graceful shutdown until the process ends,
	// whatever is unanswered.
	ShutdownTimeout time.Duration
	// DrainQuietPeriod is the time without a new query after which a controller that shuts down may
	// end early.
	DrainQuietPeriod time.Duration
	// RuntimeMemoryBytes is the memory of the Go runtime from which the garbage collector runs more
	// often (debug.SetMemoryLimit). It is no hard limit.
	RuntimeMemoryBytes int64

	// Snapshots of statistics, if the operator names a directory for them.

	// SnapshotPartRecords is the number of records that the event loop copies at a time.
	SnapshotPartRecords int
	// SnapshotPartPause is the pause between two such copies. Zero is no pause.
	SnapshotPartPause time.Duration
	// SnapshotBytesPerSecond is how many bytes a second are written on average: larger snapshots
	// are written less often. It must not be zero.
	SnapshotBytesPerSecond int
	// SnapshotMaxRetryDelay is the longest time between two attempts to write a snapshot that fail.
	SnapshotMaxRetryDelay time.Duration
	// SnapshotReadTimeout is the time for the directory to be read at start. Clients wait for it.
	SnapshotReadTimeout time.Duration
	// SnapshotSectionBytes is the size of a section of a snapshot's file. One copy of
	// SnapshotPartRecords records fits, whatever the length of their ids.
	SnapshotSectionBytes int
	// SnapshotSections is the number of sections of a file.
	SnapshotSections int
	// SnapshotFileBytes is the size of a file. Reading it takes several times as much memory.
	SnapshotFileBytes int64
}
