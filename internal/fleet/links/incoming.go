package links

import (
	"errors"
	"net"
	"time"

	"mintkeel/internal/fleet/frames"
)

// Serve takes connections until the links are closed. The listener is closed with them.
func (l *Links) Serve(listener net.Listener) {
	l.group.Go(func() {
		<-l.ctx.Done()
		listener.Close()
	})
	l.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if l.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				select { // descriptors are used up, it may be: they come free
				case <-time.After(50 * time.Millisecond):
				case <-l.ctx.Done():
					return
				}
				continue
			}
			l.mu.Lock()
			full := len(l.incoming) >= l.bounds.Incoming || l.ctx.Err() != nil
			if !full {
				l.incoming[conn] = ""
			}
			l.mu.Unlock()
			if full {
				l.refused.Add(1)
				conn.Close()
				continue
			}
			l.group.Go(func() { l.hear(conn) })
		}
	})
}

// hear takes in what one connection brings.
func (l *Links) hear(conn net.Conn) {
	defer func() {
		conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.incoming, conn)
	}()
	conn.SetDeadline(time.Now().Add(l.bounds.Dial))
	challenge, err := frames.Challenge(conn)
	if err != nil {
		return
	}
	in, err := frames.Accept(conn, challenge, *l.keys.Load(), l.self.Fleet, l.self.Generation, l.self.From)
	if err != nil {
		l.note(conn, err)
		return
	}
	l.mu.Lock()
	for other, id := range l.incoming { // what an earlier run or connection of it still has on its way is void
		if id == in.Hello.From && other != conn {
			other.Close()
		}
	}
	l.incoming[conn] = in.Hello.From
	l.mu.Unlock()
	began, bytes := time.Now(), 0
	for {
		payload, err := l.readFrame(conn, in)
		if err != nil {
			l.note(conn, err)
			return
		}
		l.mu.Lock()
		stale := l.incoming[conn] != in.Hello.From
		l.mu.Unlock()
		if stale {
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
