package limits

import "time"

// Shares of what the platform grants.
const (
	// memoryPercent of the granted memory is what the garbage collector works towards. Half of that
	// is for client connections, a quarter for connections to engines, a twelfth for a snapshot's
	// file.
	memoryPercent = 60

	// sessionBytes is the memory of one connection between queries: its goroutine, buffer and
	// bookkeeping. Results are held by few connections at a time: those whose pages have arrived
	// and whose client is reading.
	sessionBytes = 24 << 10

	// Of descriptorShares parts of the descriptors, clients have 21, closing connections 1, engines
	// 12. The rest is for discovery, the listener, the log and files.
	descriptorShares   = 40
	clientShares       = 21
	closingConnsShares = 1
	engineConnsShares  = 12
)

// Sizes in bytes, and counts.
const (
	messageBytes = 32 << 10
	readBytes    = 2 << 10
	closeBytes   = 256 << 10

	lineBytes   = 2 << 10
	pageBytes   = 6000
	pages       = 256
	resultBytes = 48_000
	queueBytes  = 1 << 20

	frameBytes = 1 << 20
	inbox      = 1024

	snapshotRecords  = 256
	snapshotRate     = 128 << 10 // a second
	sectionBytes     = 256 << 10
	snapshotSections = 1024
	maxSnapshotBytes = 8 << 20 // ten thousand table groups take 0.4 MB
)

// Times.
const (
	// defaultConnect and defaultIdle hold where the settings have none.
	defaultConnect = 250 * time.Millisecond
	defaultIdle    = 10 * time.Second

	// maxDrain is how long a graceful shutdown waits for queries at most, whatever their clients'
	// timeouts. After it, or the longest timeout, the last answers and the end of the process have
	// a margin.
	maxDrain     = 3 * time.Second
	answerMargin = 300 * time.Millisecond
	endMargin    = 600 * time.Millisecond
	quietPeriod  = 800 * time.Millisecond

	acceptRetry       = 5 * time.Millisecond
	firstQueryTimeout = 2 * time.Second
	messageTimeout    = 2 * time.Second
	clientIdleTimeout = 5 * time.Second
	newConnGrace      = 50 * time.Millisecond
	writeTimeout      = 2 * time.Second
	answerAllowance   = 60 * time.Millisecond
	closeTimeout      = 300 * time.Millisecond
	earlyCancel       = 100 * time.Millisecond

	engineWriteTimeout = time.Second
	queryIDRest        = 2 * time.Second

	discoverySilence = 1600 * time.Millisecond
	listExpiry       = 4 * time.Second
	listExpiryBroken = 2 * time.Second
	discoveryRetry   = 50 * time.Millisecond

	configReadTimeout = 2 * time.Second
	logInterval       = time.Second

	snapshotPause        = 2 * time.Millisecond
	snapshotMaxRetry     = time.Minute
	snapshotsReadTimeout = 500 * time.Millisecond
)

// For returns the limits of a controller that is granted so many descriptors and so much memory in
// MiB. The times are those of the settings, each with a default for 0: how long connecting to an
// engine may take (250 ms), after which time engines close idle connections (10 s), and the longest
// timeout of a client (3 s, which is also the most that is waited for).
func For(descriptors, memoryMB int, connect, idle, longest time.Duration) *Limits {
	if connect <= 0 {
		connect = defaultConnect
	}
	if idle <= 0 {
		idle = defaultIdle
	}
	if longest <= 0 || longest > maxDrain {
		longest = maxDrain
	}
	memory := memoryMB << 20 * memoryPercent / 100
	l := &Limits{
		Inbox:       inbox,
		ReadTime:    configReadTimeout,
		LogEvery:    logInterval,
		StopTime:    longest + answerMargin,
		EndTime:     longest + endMargin,
		StopQuiet:   quietPeriod,
		MemoryBytes: int64(memory),
	}
	l.setClients(descriptors, memory)
	l.setEngines(descriptors, memory, connect, idle)
	l.setDiscovery()
	l.setSnapshots(memory)
	return l
}

func (l *Limits) setClients(descriptors, memory int) {
	l.Connections = min(descriptors*clientShares/descriptorShares, memory/2/sessionBytes)
	l.ClosingConns = descriptors * closingConnsShares / descriptorShares
	l.MessageBytes = messageBytes
	l.ReadBytes = readBytes
	l.CloseBytes = closeBytes
	l.AcceptRetry = acceptRetry
	l.FirstTime = firstQueryTimeout
	l.MessageTime = messageTimeout
	l.IdleTime = clientIdleTimeout
	l.FreshTime = newConnGrace
	l.WriteTime = writeTimeout
	l.AnswerTime = answerAllowance
	l.CloseTime = closeTimeout
	l.CancelTime = earlyCancel
}

func (l *Limits) setEngines(descriptors, memory int, connect, idle time.Duration) {
	l.EngineConns = min(descriptors*engineConnsShares/descriptorShares, memory/4/sessionBytes)
	l.LineBytes = lineBytes
	l.PageBytes = pageBytes
	l.Pages = pages
	l.ResultBytes = resultBytes
	l.QueueBytes = queueBytes
	l.EngineWrite = engineWriteTimeout
	l.ConnectTime = connect
	l.EngineIdle = idle / 2
	l.SpareTime = connect
	l.GiveUpTime = connect
	l.PingAfter = connect
	l.RestTime = connect
	l.LateTime = queryIDRest
}

func (l *Limits) setDiscovery() {
	l.FrameBytes = frameBytes
	l.FeedSilence = discoverySilence
	l.FeedTold = listExpiry
	l.FeedBroken = listExpiryBroken
	l.FeedRetry = discoveryRetry
}

func (l *Limits) setSnapshots(memory int) {
	l.MemoryPart = snapshotRecords
	l.MemoryRest = snapshotPause
	l.MemoryRate = snapshotRate
	l.MemoryRetry = snapshotMaxRetry
	l.MemoryRead = snapshotsReadTimeout
	l.MemorySection = sectionBytes
	l.MemorySections = snapshotSections
	l.MemoryFile = min(maxSnapshotBytes, int64(memory/12))
}
