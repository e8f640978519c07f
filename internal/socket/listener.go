package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Looks of CloseListener at the listener's queue.
const (
	queueLooks        = 50
	queueLookInterval = time.Millisecond
)

// CloseListener closes a listener once the goroutine that accepts from it has accepted every
// connection that waits: closing it would reset them. A flood of connections can't put off the end
// for longer than a bounded number of looks at the queue. Looks are counted and not the time, which
// may pass without a turn for the accepting goroutine.
func CloseListener(listener net.Listener) error { return closeListener(listener, queueLooks) }

func closeListener(listener net.Listener, maxLooks int) error {
	for range maxLooks {
		if !HasConnection(listener) {
			break
		}
		time.Sleep(queueLookInterval)
	}
	return listener.Close()
}

// HasConnection reports whether a connection waits to be accepted. It reports none for a listener
// that has no descriptor.
func HasConnection(listener net.Listener) bool {
	sys, ok := listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	raw.Control(func(fd uintptr) { found = isReadable(int(fd)) }) // fails only for a closed listener
	return found
}

// isReadable reports whether a read, or an accept, would not wait.
func isReadable(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0 && polled[0].Revents&unix.POLLIN != 0
		}
	}
}
