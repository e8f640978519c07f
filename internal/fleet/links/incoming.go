package links

import (
	"errors"
	"net"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
	"mintkeel/internal/socket"
)

// acceptBackoff is the delay after Accept failed, as the process may have run out of descriptors.
const acceptBackoff = 50 * time.Millisecond

// unauthenticatedDivisor bounds how many connections senders without a key can displace: idle
// connections are evicted only while fewer than MaxIncoming/unauthenticatedDivisor connections are
// not authenticated yet.
const unauthenticatedDivisor = 4

// maxRateWait bounds each pause in reading a connection whose sender exceeds ReceiveRate.
const maxRateWait = time.Second

// incoming is a connection from another controller.
type incoming struct {
	from   members.ID // empty until its hello is verified
	usedAt time.Time  // time of its last message, or of its acceptance
}

// Serve accepts connections until the links are closed, which closes the listener too.
func (l *Links) Serve(listener net.Listener) {
	l.group.Go(func() {
		<-l.ctx.Done()
		listener.Close()
	})
	l.group.Go(func() { l.acceptConnections(listener) })
}

func (l *Links) acceptConnections(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		var conn net.Conn
		if err == nil {
			// Frames that came while the process had no turn are read before a deadline ends the connection.
			conn = socket.NewConn(accepted, frames.MaxPayloadBytes)
		}
		switch {
		case err == nil && l.admitIncoming(conn):
			l.group.Go(func() { l.serveIncoming(conn) })
		case err == nil:
			l.refused.Add(1)
			conn.Close()
		case l.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			select {
			case <-time.After(acceptBackoff):
			case <-l.ctx.Done():
				return
			}
		}
	}
}

// admitIncoming makes room for a connection and registers it; it returns false if there is no room.
// The sender of an idle connection that is evicted for it notices that, and opens another one for
// its next message.
func (l *Links) admitIncoming(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	full := len(l.incoming) >= l.bounds.MaxIncoming
	if full && !l.evictIncoming() {
		return false
	}
	l.incoming[conn] = &incoming{usedAt: time.Now()}
	return true
}

// evictIncoming closes the authenticated connection that has been idle for the longest time, if
// that is over EvictAfter and the bound on unauthenticated connections allows it. mu is held.
func (l *Links) evictIncoming() bool {
	var longestIdle net.Conn
	unauthenticated := 0
	usedAt := time.Now().Add(-l.bounds.EvictAfter)
	for conn, candidate := range l.incoming {
		if candidate.from == "" {
			unauthenticated++
		} else if candidate.usedAt.Before(usedAt) {
			longestIdle = conn
			usedAt = candidate.usedAt
		}
	}
	if longestIdle == nil || unauthenticated >= max(1, l.bounds.MaxIncoming/unauthenticatedDivisor) {
		return false
	}
	l.evicted.Add(1)
	l.endIncoming(longestIdle)
	return true
}

// endIncoming closes a connection. Messages that were read but not yet delivered are dropped. mu is
// held.
func (l *Links) endIncoming(conn net.Conn) {
	delete(l.incoming, conn)
	conn.Close()
}

// serveIncoming authenticates a connection and delivers its messages until it ends.
func (l *Links) serveIncoming(conn net.Conn) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.endIncoming(conn)
	}()
	reader, err := l.authenticate(conn)
	if err != nil {
		l.logRejected(conn, err)
		return
	}
	limit := rateLimit{bytesPerSecond: l.bounds.ReceiveRate, since: time.Now()}
	for {
		payload, err := l.readFrame(conn, reader)
		if err != nil {
			l.logRejected(conn, err)
			return
		}
		if !l.recordUse(conn) {
			return
		}
		l.received.Add(1)
		l.bytesIn.Add(int64(len(payload)) + frames.Overhead)
		l.receive(Received{From: reader.Hello.From, Run: reader.Hello.Run, Payload: payload})
		wait := limit.add(len(payload))
		if wait == 0 {
			continue
		}
		select {
		case <-time.After(wait):
		case <-l.ctx.Done():
			return
		}
	}
}

// rateLimit limits the rate at which a connection is read.
type rateLimit struct {
	bytesPerSecond int
	bytes          int       // read after since
	since          time.Time // reset once the sender is over maxRateWait below the rate
}

// add counts bytes that were read, and returns how long to pause before the next read.
func (r *rateLimit) add(bytes int) time.Duration {
	r.bytes += bytes
	ahead := time.Duration(r.bytes)*time.Second/time.Duration(r.bytesPerSecond) - time.Since(r.since)
	if -ahead > maxRateWait {
		r.since = time.Now()
		r.bytes = 0
	}
	return min(max(0, ahead), maxRateWait)
}

// authenticate verifies that a connection's sender is a member of the fleet. It closes earlier
// connections of the same sender, so that messages of a former incarnation that are still in
// transit are not delivered.
func (l *Links) authenticate(conn net.Conn) (*frames.Reader, error) {
	conn.SetDeadline(time.Now().Add(l.bounds.DialTimeout))
	challenge, err := frames.Challenge(conn)
	if err != nil {
		return nil, err
	}
	reader, err := frames.Accept(conn, challenge, *l.keys.Load(), l.self.Fleet, l.self.Generation,
		l.self.From)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, earlier := range l.incoming {
		if earlier.from == reader.Hello.From && other != conn {
			l.endIncoming(other)
		}
	}
	if own := l.incoming[conn]; own != nil {
		own.from = reader.Hello.From
	}
	return reader, nil
}

// recordUse records the arrival of a message on a connection. It returns false if the connection
// was closed meanwhile.
func (l *Links) recordUse(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.incoming[conn]
	if own == nil {
		return false
	}
	own.usedAt = time.Now()
	return true
}

// readFrame waits for the next frame and reads it. Once a frame has begun, its claimed length sets
// a deadline. Without it, a length that was corrupted in transit would make the reader take the
// following messages for the frame's payload without the sender noticing. The deadline leaves a
// slow network enough time for a large frame.
func (l *Links) readFrame(conn net.Conn, reader *frames.Reader) ([]byte, error) {
	maxWait := 2 * l.bounds.IdleTimeout // the sender closes an idle connection earlier
	conn.SetReadDeadline(time.Now().Add(maxWait))
	length, err := reader.AwaitFrame()
	if err != nil {
		return nil, err
	}
	frameTime := l.bounds.WriteTimeout +
		time.Duration(length)*time.Second/time.Duration(l.bounds.MinFrameRate)
	conn.SetReadDeadline(time.Now().Add(min(maxWait, frameTime)))
	return reader.Read()
}

// logRejected counts and logs a connection that is not from a member of this fleet. It ignores all
// other errors, as the end of a connection is not a fault.
func (l *Links) logRejected(conn net.Conn, err error) {
	switch {
	case errors.Is(err, frames.ErrForged),
		errors.Is(err, frames.ErrTooLong),
		errors.Is(err, frames.ErrMalformed):
		l.forged.Add(1)
		l.log.Warn("fleet: a connection is not authentic", "from", conn.RemoteAddr().String(), "why", err)
	case errors.Is(err, frames.ErrForeign):
		l.foreign.Add(1)
		l.log.Warn("fleet: a connection of another fleet or generation",
			"from", conn.RemoteAddr().String(), "why", err)
	}
}
