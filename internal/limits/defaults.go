package limits

import "time"

// Shares of the memory that the platform grants.
const (
	// memoryPercent is the share of the granted memory that the garbage collector aims for.
	memoryPercent = 60
	// clientMemoryDivisor assigns half of that to client connections.
	clientMemoryDivisor = 2
	// engineMemoryDivisor assigns a quarter of it to connections to engines.
	engineMemoryDivisor = 4
	// snapshotMemoryDivisor bounds the file of a snapshot to a twelfth of it.
	snapshotMemoryDivisor = 12
	// sessionBytes is the memory of one connection between queries: its goroutine, buffer and
	// state. Results are left out, as few connections hold one at a time: only those that are
	// writing it to a client.
	sessionBytes = 24 << 10
)

// Shares, out of descriptorShares, of the descriptors that the platform grants. The rest is for
// discovery, the listener, the log and files.
const (
	descriptorShares         = 40
	clientConnectionsShares  = 21
	closingConnectionsShares = 1
	engineConnectionsShares  = 12
)

// engineIdleDivisor makes the idle timeout of connections half of the engines' own, so that the
// controller closes them first.
const engineIdleDivisor = 2

// Sizes in bytes, and counts. The field of Limits with the same name documents each.
const (
	clientMessageBytes    = 32 << 10
	clientReadBufferBytes = 2 << 10
	clientDrainBytes      = 256 << 10

	answerHeaderBytes = 2 << 10
	pageBytes         = 6000
	resultPages       = 256
	resultBytes       = 48_000
	engineQueueBytes  = 1 << 20

	discoveryFrameBytes = 1 << 20
	eventQueueLength    = 1024
	shutdownLateLooks   = 5

	snapshotPartRecords    = 256
	snapshotBytesPerSecond = 128 << 10
	snapshotSectionBytes   = 256 << 10
	snapshotSections       = 1024
	maxSnapshotFileBytes   = 8 << 20 // ten thousand table groups take 0.4 MB
)

// Durations that depend on the settings.
const (
	// defaultConnectTimeout is the connect timeout of settings without one.
	defaultConnectTimeout = 250 * time.Millisecond
	// defaultEngineIdleTimeout is the engines' idle timeout of settings without one.
	defaultEngineIdleTimeout = 10 * time.Second

	// maxDrainTimeout bounds how long a graceful shutdown waits for queries, whatever their timeouts.
	maxDrainTimeout = 3 * time.Second
	// answerMargin is the time for writing the last answers, after the longest client timeout or
	// maxDrainTimeout.
	answerMargin = 300 * time.Millisecond
	// shutdownMargin is the time until the process exits, after the longest client timeout or
	// maxDrainTimeout.
	shutdownMargin = 600 * time.Millisecond
)

// Durations that don't depend on the settings. The field of Limits with the same name documents
// each.
const (
	drainQuietPeriod = 800 * time.Millisecond

	acceptRetryDelay     = 5 * time.Millisecond
	firstQueryTimeout    = 2 * time.Second
	clientMessageTimeout = 2 * time.Second
	clientIdleTimeout    = 5 * time.Second
	newConnectionGrace   = 50 * time.Millisecond
	clientWriteTimeout   = 2 * time.Second
	answerAllowance      = 60 * time.Millisecond
	clientCloseTimeout   = 300 * time.Millisecond
	earlyCancelWindow    = 100 * time.Millisecond

	engineWriteTimeout = time.Second
	queryIDReuseDelay  = 2 * time.Second

	discoverySilenceTimeout        = 1600 * time.Millisecond
	endpointListExpiry             = 4 * time.Second
	endpointListExpiryDisconnected = 2 * time.Second
	discoveryRetryDelay            = 50 * time.Millisecond

	configReadTimeout = 2 * time.Second
	logInterval       = time.Second

	snapshotPartPause     = 2 * time.Millisecond
	snapshotMaxRetryDelay = time.Minute
	snapshotReadTimeout   = 500 * time.Millisecond
)

// For returns the limits of a controller that is granted this number of descriptors and this memory
// in MiB. The timeouts are those of the settings, each with a default that replaces 0:
// connectTimeout, for connecting to an engine (250 ms); engineIdleTimeout, after which engines
// close idle connections (10 s); and longestClientTimeout (3 s, which is also its maximum).
func For(
	descriptors, memoryMB int,
	connectTimeout, engineIdleTimeout, longestClientTimeout time.Duration,
) *Limits {
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	if engineIdleTimeout <= 0 {
		engineIdleTimeout = defaultEngineIdleTimeout
	}
	if longestClientTimeout <= 0 || longestClientTimeout > maxDrainTimeout {
		longestClientTimeout = maxDrainTimeout
	}
	memory := memoryMB << 20 * memoryPercent / 100
	l := &Limits{
		EventQueueLength:   eventQueueLength,
		ConfigReadTimeout:  configReadTimeout,
		LogInterval:        logInterval,
		DrainTimeout:       longestClientTimeout + answerMargin,
		ShutdownTimeout:    longestClientTimeout + shutdownMargin,
		ShutdownLateLooks:  shutdownLateLooks,
		DrainQuietPeriod:   drainQuietPeriod,
		RuntimeMemoryBytes: int64(memory),
	}
	l.setClientLimits(descriptors, memory)
	l.setEngineLimits(descriptors, memory, connectTimeout, engineIdleTimeout)
	l.setDiscoveryLimits()
	l.setSnapshotLimits(memory)
	return l
}

func (l *Limits) setClientLimits(descriptors, memory int) {
	l.ClientConnections = min(descriptors*clientConnectionsShares/descriptorShares,
		memory/clientMemoryDivisor/sessionBytes)
	l.ClosingConnections = descriptors * closingConnectionsShares / descriptorShares
	l.ClientMessageBytes = clientMessageBytes
	l.ClientReadBufferBytes = clientReadBufferBytes
	l.ClientDrainBytes = clientDrainBytes
	l.AcceptRetryDelay = acceptRetryDelay
	l.FirstQueryTimeout = firstQueryTimeout
	l.ClientMessageTimeout = clientMessageTimeout
	l.ClientIdleTimeout = clientIdleTimeout
	l.NewConnectionGrace = newConnectionGrace
	l.ClientWriteTimeout = clientWriteTimeout
	l.AnswerAllowance = answerAllowance
	l.ClientCloseTimeout = clientCloseTimeout
	l.EarlyCancelWindow = earlyCancelWindow
}

func (l *Limits) setEngineLimits(
	descriptors, memory int, connectTimeout, engineIdleTimeout time.Duration,
) {
	l.EngineConnections = min(descriptors*engineConnectionsShares/descriptorShares,
		memory/engineMemoryDivisor/sessionBytes)
	l.AnswerHeaderBytes = answerHeaderBytes
	l.PageBytes = pageBytes
	l.ResultPages = resultPages
	l.ResultBytes = resultBytes
	l.EngineQueueBytes = engineQueueBytes
	l.EngineWriteTimeout = engineWriteTimeout
	l.ConnectTimeout = connectTimeout
	l.EngineIdleTimeout = engineIdleTimeout / engineIdleDivisor
	l.MinIdleBeforeEviction = connectTimeout
	l.PingTimeout = connectTimeout
	l.PingAfter = connectTimeout
	l.AnswerTimeout = connectTimeout
	l.QueryIDReuseDelay = queryIDReuseDelay
}

func (l *Limits) setDiscoveryLimits() {
	l.DiscoveryFrameBytes = discoveryFrameBytes
	l.DiscoverySilenceTimeout = discoverySilenceTimeout
	l.EndpointListExpiry = endpointListExpiry
	l.EndpointListExpiryDisconnected = endpointListExpiryDisconnected
	l.DiscoveryRetryDelay = discoveryRetryDelay
}

func (l *Limits) setSnapshotLimits(memory int) {
	l.SnapshotPartRecords = snapshotPartRecords
	l.SnapshotPartPause = snapshotPartPause
	l.SnapshotBytesPerSecond = snapshotBytesPerSecond
	l.SnapshotMaxRetryDelay = snapshotMaxRetryDelay
	l.SnapshotReadTimeout = snapshotReadTimeout
	l.SnapshotSectionBytes = snapshotSectionBytes
	l.SnapshotSections = snapshotSections
	l.SnapshotFileBytes = min(maxSnapshotFileBytes, int64(memory/snapshotMemoryDivisor))
}
