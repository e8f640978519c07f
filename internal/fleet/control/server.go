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

// Timeout bounds the service's own processing of a request.
const Timeout = 3 * time.Second

// MaxRequestBytes bounds the size of every request other than ActionConfig.
const MaxRequestBytes = 64 << 10

const (
	socketName     = "control.sock" // in the fleet's folder
	socketTimeout  = 2 * Timeout    // to send a request or an answer
	maxConnections = 8              // concurrent connections
)

// ErrTooLong means that a request exceeds the size limit of its kind.
var ErrTooLong = errors.New("the request is too long")

// Handler answers requests. The goroutines of connections call it concurrently, and it may block
// for as long as the request may take.
type Handler interface {
	// Handle executes a request and returns the resulting status.
	Handle(r Request) (Status, error)
	// MaxConfigBytes returns the maximum size of a request with ActionConfig.
	MaxConfigBytes() int64
}

// Listen opens the socket in a fleet's folder. It removes a socket that an earlier process left.
func Listen(folder string) (net.Listener, error) {
	path := filepath.Join(folder, socketName)
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	return net.Listen("unix", path)
}

// Serve answers requests until the listener is closed, and returns once all connections have ended.
// It closes the connections when the context ends.
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

// serveConnection reads a connection's request and answers it, unless the connection ends first.
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

// readRequest parses the line of a request. Only ActionConfig may exceed MaxRequestBytes.
func readRequest(line []byte, tooLong bool) (r Request, err error) {
	if tooLong {
		return r, ErrTooLong
	}
	if err := json.Unmarshal(line, &r); err != nil {
		return r, fmt.Errorf("the request can't be parsed: %w", err)
	}
	if r.Action != ActionConfig && len(line) > MaxRequestBytes {
		return r, ErrTooLong
	}
	return r, nil
}
