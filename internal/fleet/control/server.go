package control

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Timeout bounds how long the service may take for its own part of a request.
const Timeout = 3 * time.Second

// MaxRequestBytes bounds a request that is not about configuration.
const MaxRequestBytes = 64 << 10

const (
	socketName     = "control.sock" // in the fleet's folder
	socketTimeout  = 2 * Timeout    // to send a request, and an answer
	maxConnections = 8              // at once
)

// ErrTooLong means that a request is longer than its kind may be.
var ErrTooLong = errors.New("the request is too long")

// Handler answers requests. It is called by the goroutines of connections, several at once, and may
// wait for as long as the request may take.
type Handler interface {
	// Handle does what a request asks, and returns the state after it.
	Handle(r Request) (Status, error)
	// MaxConfigBytes bounds a request about configuration.
	MaxConfigBytes() int64
}

// Listen opens the socket in a fleet's folder. One that an earlier process left is removed.
func Listen(folder string) (net.Listener, error) {
	path := filepath.Join(folder, socketName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return net.Listen("unix", path)
}

// Serve answers requests until the listener is closed, and returns once all connections have ended.
// The context's end closes the connections.
func Serve(ctx context.Context, listener net.Listener, handler Handler) {
	var connections sync.WaitGroup
	defer connections.Wait()
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
			connections.Go(func() {
				defer func() { <-slots }()
				defer conn.Close()
				defer context.AfterFunc(ctx, func() { conn.Close() })()
				serveConnection(conn, handler)
			})
		default:
			conn.Close()
		}
	}
}

// serveConnection reads the request of a connection and answers it, unless the connection ends before.
func serveConnection(conn net.Conn, handler Handler) {
	conn.SetDeadline(time.Now().Add(socketTimeout))
	limit := max(MaxRequestBytes, handler.MaxConfigBytes())
	line, err := bufio.NewReader(io.LimitReader(conn, limit)).ReadBytes('\n')
	tooLong := errors.Is(err, io.EOF) && int64(len(line)) == limit
	if err != nil && !tooLong {
		return
	}
	var reply Status
	request, err := readRequest(line, tooLong)
	if err == nil {
		conn.SetDeadline(time.Now().Add(request.maxDuration() + socketTimeout))
		reply, err = handler.Handle(request)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	json.NewEncoder(conn).Encode(reply)
}

// readRequest reads the line of a request. Only one about the fleet's configuration may be long.
func readRequest(line []byte, tooLong bool) (r Request, err error) {
	if tooLong {
		return r, ErrTooLong
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return r, fmt.Errorf("the request can't be read: %w", err)
	}
	if r.Action != ActionConfig && len(line) > MaxRequestBytes {
		return r, ErrTooLong
	}
	return r, nil
}
