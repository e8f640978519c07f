package limits

import "time"

// Limits bounds what the network code holds and how long it waits.
//
// For sets every field. The effect of zero, which only tests use: a size or count of zero admits
// nothing; a time of zero is over when it begins. Fields for which this does not hold say so.
type Limits struct {
	// Client connections.

	// Connections is the number of client connections, with those that have not sent a query yet.
	Connections int
	// ClosingConns is the number of connections above Connections whose clients are being told that
	// they end.
	ClosingConns int
	// MessageBytes is the size of a client's longest message.
	MessageBytes int
	// ReadBytes is the size of a connection's read buffer until a message needs more.
	ReadBytes int
	// CloseBytes is how much a rejected client may still send, so that it gets to read the error,
	// before it is closed.
	CloseBytes int64
	// AcceptRetry is the time after an accept failed until the next one: descriptors may be short
	// for a moment.
	AcceptRetry time.Duration
	// FirstTime is the time from connecting to the first whole query. A client without one must be
	// rejected or closed in 3 s.
	FirstTime time.Duration
	// MessageTime is the time for the rest of a message whose first bytes have been read.
	MessageTime time.Duration
	// IdleTime is the time between two queries. Clients close their idle connections themselves
	// after 4 s.
	IdleTime time.Duration
	// FreshTime is the age below which a connection is not closed to make room for another one.
	// Zero spares none.
	FreshTime time.Duration
	// WriteTime is the time for a client to take an answer.
	WriteTime time.Duration
	// AnswerTime is taken off a client's timeout, at most an eighth of it: the query has to be
	// read, and the answer to arrive.
	AnswerTime time.Duration
	// CloseTime is the time for a client to read that its connection ends.
	CloseTime time.Duration
	// CancelTime is how long ahead of its query a cancel request may arrive and still apply to it.
	CancelTime time.Duration

	// Connections to engines.

	// EngineConns is the number of connections to all engines together.
	EngineConns int
	// LineBytes is the size of the longest header of an engine's answer.
	LineBytes int
	// PageBytes is the size of the longest page of a result.
	PageBytes int
	// Pages is the number of pages of a result.
	Pages int
	// ResultBytes is the size of the longest result.
	ResultBytes int
	// QueueBytes is how much may wait to be written to one connection.
	QueueBytes int
	// EngineWrite is the time for an engine to take what is written to it.
	EngineWrite time.Duration
	// ConnectTime is the time for a connection to an engine or to discovery to be established. Zero
	// is no limit for engines.
	ConnectTime time.Duration
	// EngineIdle is the time after which an unused connection is closed. It is shorter than the
	// engine's own: an attempt that crosses the engine's close would count as one that may have
	// run.
	EngineIdle time.Duration
	// SpareTime is how long a connection must be unused before it may be closed for another
	// engine's sake, so that two engines don't take it from each other in turn. Zero spares none.
	SpareTime time.Duration
	// GiveUpTime is the time for an engine to answer a ping. One is sent behind each cancelled attempt.
	GiveUpTime time.Duration
	// PingAfter is the silence of an engine that owes an answer after which it is pinged.
	PingAfter time.Duration
	// RestTime is the time for the rest of an answer whose first bytes have been read.
	RestTime time.Duration
	// LateTime is the time past its client's timeout during which a query's id is not used again on
	// a connection.
	LateTime time.Duration

	// Discovery and the event loop.

	// FrameBytes is the size of the longest frame of the discovery stream.
	FrameBytes int
	// FeedSilence is the silence after which the stream counts as dead. The server sends once a second.
	FeedSilence time.Duration
	// FeedTold is the time since the stream's last frame, or since its address changed, after which
	// the endpoint list counts as expired.
	FeedTold time.Duration
	// FeedBroken is the same since the stream's connection broke.
	FeedBroken time.Duration
	// FeedRetry is the least time between two attempts to connect to discovery.
	FeedRetry time.Duration
	// Inbox is the number of events that wait for the event loop; senders wait when it is full.
	Inbox int

	// The process.

	// ReadTime is the time for a changed configuration to be read. No other signal is handled meanwhile.
	ReadTime time.Duration
	// LogEvery is the least time between two log lines about the same engine or the same trouble.
	// Zero logs each.
	LogEvery time.Duration
	// StopTime is the time from the start of a graceful shutdown until every query must be answered.
	StopTime time.Duration
	// EndTime is the time from the start of a graceful shutdown until the process ends, whatever is
	// unanswered.
	EndTime time.Duration
	// StopQuiet is the time without a new query after which a controller that shuts down may end early.
	StopQuiet time.Duration
	// MemoryBytes is the memory of the Go runtime from which the garbage collector runs more often
	// (debug.SetMemoryLimit). It is no hard limit.
	MemoryBytes int64

	// Snapshots of statistics, if the operator names a folder for them.

	// MemoryPart is the number of records that the event loop copies at a time.
	MemoryPart int
	// MemoryRest is the pause between two such copies. Zero is no pause.
	MemoryRest time.Duration
	// MemoryRate is how many bytes a second are written on average: larger snapshots are written
	// less often. It must not be zero.
	MemoryRate int
	// MemoryRetry is the longest time between two attempts to write a snapshot while they fail.
	MemoryRetry time.Duration
	// MemoryRead is the time for the folder to be read at start. Clients wait for it.
	MemoryRead time.Duration
	// MemorySection is the size of a section of a snapshot's file. One copy of MemoryPart records
	// fits, whatever the length of their ids.
	MemorySection int
	// MemorySections is the number of sections of a file.
	MemorySections int
	// MemoryFile is the size of a file, which takes several times as much memory when it is read.
	MemoryFile int64
}
