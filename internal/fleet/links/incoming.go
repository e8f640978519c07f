package links

import (
	"errors"
	"net"
	"time"

	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/frames"
)

// acceptPause is how long no connection is accepted after one could not be: descriptors that are used up come free.
const acceptPause = 50 * time.Millisecond

// greetingShare bounds the connections that may take the place of idle ones: one in so many of all that come in. Those
// that have proved nothing yet can't displace more controllers than that.
const greetingShare = 4

// incoming is a connection from another controller.
type incoming struct {
	from   members.ID // empty until its hello has been verified
	usedAt time.Time  // when it last brought a message, or came in
}

// Serve takes connections until the links are closed. The listener is closed with them.
func (l *Links) Serve(listener net.Listener) {
	l.group.Go(func() {
		<-l.ctx.Done()
		listener.Close()
	})
	l.group.Go(func() { l.acceptAll(listener) })
}

func (l *Links) acceptAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil && l.admit(conn):
			l.group.Go(func() { l.receiveAll(conn) })
		case err == nil:
			l.refused.Add(1)
			conn.Close()
		case l.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			select {
			case <-time.After(acceptPause):
			case <-l.ctx.Done():
				return
			}
		}
	}
}

// admit finds room for a connection; false: there is none. The sender of an idle connection that yields to it sees that,
// and opens another one for its next message.
func (l *Links) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil || len(l.incoming) >= l.bounds.Incoming && !l.evict() {
		return false
	}
	l.incoming[conn] = &incoming{usedAt: time.Now()}
	return true
}

// evict closes the connection that has brought nothing for the longest time, if that is long enough; mu is held.
func (l *Links) evict() bool {
	var longestIdle net.Conn
	greeting := 0
	usedAt := time.Now().Add(-l.bounds.Yield)
	for conn, in := range l.incoming {
		if in.from == "" {
			greeting++
		} else if in.usedAt.Before(usedAt) {
			longestIdle, usedAt = conn, in.usedAt
		}
	}
	if longestIdle == nil || greeting >= max(1, l.bounds.Incoming/greetingShare) {
		return false
	}
	l.evicted.Add(1)
	l.end(longestIdle)
	return true
}

// end closes a connection; what has come on it and was not taken in yet is void. mu is held.
func (l *Links) end(conn net.Conn) {
	delete(l.incoming, conn)
	conn.Close()
}

// receiveAll takes in what one connection brings.
func (l *Links) receiveAll(conn net.Conn) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.end(conn)
	}()
	in, err := l.greet(conn)
	if err != nil {
		l.note(conn, err)
		return
	}
	began, bytes := time.Now(), 0
	for {
		payload, err := l.readFrame(conn, in)
		if err != nil {
			l.note(conn, err)
			return
		}
		if !l.use(conn) {
			return
		}
		l.received.Add(1)
		l.bytesIn.Add(int64(len(payload)) + frames.Overhead)
		l.receive(Received{in.Hello.From, in.Hello.Run, payload})
		bytes += len(payload) // one that sends more than its rate is read no faster
		if ahead := time.Duration(bytes)*time.Second/time.Duration(l.bounds.Rate) - time.Since(began); ahead > 0 {
			select {
			case <-time.After(min(ahead, time.Second)):
			case <-l.ctx.Done():
				return
			}
		} else if -ahead > time.Second {
			began, bytes = time.Now(), 0
		}
	}
}

// greet has a connection's sender prove who it is. An earlier connection of the same sender ends: what a former
// incarnation still has on its way is void.
func (l *Links) greet(conn net.Conn) (*frames.Reader, error) {
	conn.SetDeadline(time.Now().Add(l.bounds.Dial))
	challenge, err := frames.Challenge(conn)
	if err != nil {
		return nil, err
	}
	in, err := frames.Accept(conn, challenge, *l.keys.Load(), l.self.Fleet, l.self.Generation, l.self.From)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, earlier := range l.incoming {
		if earlier.from == in.Hello.From && other != conn {
			l.end(other)
		}
	}
	if own := l.incoming[conn]; own != nil {
		own.from = in.Hello.From
	}
	return in, nil
}

// use notes that a connection has brought a message; false if it was ended meanwhile.
func (l *Links) use(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	in := l.incoming[conn]
	if in == nil {
		return false
	}
	in.usedAt = time.Now()
	return true
}

// readFrame waits for the next frame and reads it. Once it has begun it has a time by its length: one that was changed on
// its way would else have the messages behind it taken for its payload, unseen by the sender. A slow network gets a large
// frame through in it.
func (l *Links) readFrame(conn net.Conn, in *frames.Reader) ([]byte, error) {
	longest := 2 * l.bounds.Idle
	conn.SetReadDeadline(time.Now().Add(longest))
	length, err := in.Await()
	if err != nil {
		return nil, err
	}
	patience := l.bounds.Write + time.Duration(length)*time.Second/time.Duration(l.bounds.LeastRate)
	conn.SetReadDeadline(time.Now().Add(min(longest, patience)))
	return in.Read()
}

func (l *Links) note(conn net.Conn, err error) {
	switch {
	case errors.Is(err, frames.ErrForged), errors.Is(err, frames.ErrTooLong), errors.Is(err, frames.ErrForm):
		l.forged.Add(1)
		l.log.Warn("fleet: a connection is not authentic", "from", conn.RemoteAddr().String(), "why", err)
	case errors.Is(err, frames.ErrForeign):
		l.foreign.Add(1)
		l.log.Warn("fleet: a connection of another fleet or generation", "from", conn.RemoteAddr().String(), "why", err)
	}
}
