package links

import (
	"errors"
	"net"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
)

// acceptBackoff is for how long no connection is accepted after one could not be, as descriptors
// may be used up.
const acceptBackoff = 50 * time.Millisecond

// unauthenticatedDivisor is a bound on connections that are not authenticated yet: idle ones are
// evicted for them only while they are less than one in so many of MaxIncoming. So strangers can't
// displace more controllers than that.
const unauthenticatedDivisor = 4

// maxRateWait bounds how long a connection is not read as its sender is over its rate.
const maxRateWait = time.Second

// incoming is a connection from another controller.
type incoming struct {
	from   members.ID // empty until its hello was verified
	usedAt time.Time  // of its last message, or when it was accepted
}

// Serve accepts connections until the links are closed. The listener is closed with them.
func (l *Links) Serve(listener net.Listener) {
	l.group.Go(func() {
		<-l.ctx.Done()
		listener.Close()
	})
	l.group.Go(func() { l.acceptConnections(listener) })
}

func (l *Links) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
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

// admitIncoming finds room for a connection; false: there is none. The sender of an idle connection that is
// evicted for it notices that, and opens another one for its next message.
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

// evictIncoming closes the connection that has been idle for the longest time, if that is long
// enough. mu is held.
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

// endIncoming closes a connection. mu is held. What was read and not handed over yet is dropped.
func (l *Links) endIncoming(conn net.Conn) {
	delete(l.incoming, conn)
	conn.Close()
}

// serveIncoming hands over what one connection brings, until it ends.
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

// rateLimit slows a connection down to a rate.
type rateLimit struct {
	bytesPerSecond int
	bytes          int       // read since the time since
	since          time.Time // begins anew once the sender is well below the rate
}

// add counts bytes that were read, and returns how long the connection is not to be read.
func (r *rateLimit) add(bytes int) time.Duration {
	r.bytes += bytes
	ahead := time.Duration(r.bytes)*time.Second/time.Duration(r.bytesPerSecond) - time.Since(r.since)
	if -ahead > maxRateWait {
		r.since = time.Now()
		r.bytes = 0
	}
	return min(max(0, ahead), maxRateWait)
}

// authenticate has a connection's sender prove that it is of the fleet. An earlier connection of
// the same sender is closed: what a former incarnation still has on its way is not handed over.
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

// recordUse notes that a connection has brought a message; false if it was closed meanwhile.
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

// readFrame waits for the next frame and reads it. A frame that has begun has a deadline by its
// length: with a length that was changed on its way the messages behind it would otherwise be read
// as its payload, and the sender would not notice. The deadline leaves a slow network the time for
// a large frame.
func (l *Links) readFrame(conn net.Conn, reader *frames.Reader) ([]byte, error) {
	maxWait := 2 * l.bounds.IdleTimeout // the sender closes an idle connection before
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

// logRejected counts and logs a connection that is not of this fleet. Others that end are no fault.
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
