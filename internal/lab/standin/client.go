package standin

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"mintkeel/internal/socket"
)

// Verdict is the result of a command for its client.
type Verdict int

// The verdicts.
const (
	Answered Verdict = iota
	Shed             // rejected: the SQLSTATE is of class 53, or 57P03
	Failed           // an error of another code
	Lost             // no answer: the connection ended, or the time was up
)

// Client is a stand-in for a client. It has one connection, and sends one command at a time.
type Client struct {
	conn net.Conn
	r    *bufio.Reader
}

// startUp is the start-up message of a session.
const startUp = "\x00\x00\x00\x20\x00\x03\x00\x00user\x00app\x00database\x00core\x00\x00"

const (
	// answerSlack is how long after a command's limit its final answer may still come: half a second,
	// and the 50 ms by which all limits are longer on sockets.
	answerSlack = 550 * time.Millisecond
	// maxLateBytes bounds an answer that has arrived in time and is read later.
	maxLateBytes = 1 << 20
)

// Dial opens a session within a time.
func Dial(ctx context.Context, addr string, within time.Duration) (*Client, error) {
	dialer := net.Dialer{Timeout: within}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn, bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(within))
	_, err = io.WriteString(conn, startUp)
	if err == nil {
		_, _, err = c.reply()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// Ask opens a session, with a command right behind the start-up message, and returns the verdict on
// the command. It is Lost if its whole answer has not come by the limit and answerSlack after its
// last byte was written. An answer that came by then counts also if this process reads it later, as
// it had no turn.
func Ask(ctx context.Context, addr, fields, statement string, limit time.Duration) (Verdict, error) {
	dialer := net.Dialer{Timeout: limit + answerSlack}
	dialled, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return Lost, err
	}
	conn := socket.NewConn(dialled, maxLateBytes)
	defer conn.Close()
	c := &Client{conn, bufio.NewReader(conn)}
	message := net.Buffers{[]byte(startUp), queryMessage(fields, statement, limit)}
	if _, err := conn.WriteBuffers(&message, time.Now().Add(limit)); err != nil {
		return Lost, err
	}
	conn.SetReadDeadline(time.Now().Add(limit + answerSlack))
	if _, _, err := c.reply(); err != nil {
		return Lost, fmt.Errorf("opening the session: %w", err)
	}
	return c.verdict()
}

// Close ends the session.
func (c *Client) Close() { c.conn.Close() }

var errIncomplete = errors.New("the answer has a message of invalid length")

// reply reads messages up to the next ReadyForQuery. It reports whether a command completed, and the SQLSTATE of an error.
func (c *Client) reply() (complete bool, code string, err error) {
	for {
		head := make([]byte, 5)
		if _, err := io.ReadFull(c.r, head); err != nil {
			return false, "", err
		}
		length := int(binary.BigEndian.Uint32(head[1:])) - 4
		if length < 0 || length > 1<<20 {
			return false, "", errIncomplete
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(c.r, body); err != nil {
			return false, "", err
		}
		switch head[0] {
		case 'C':
			complete = true
		case 'E':
			for _, field := range splitFields(body) {
				if len(field) > 1 && field[0] == 'C' {
					code = string(field[1:])
				}
			}
		case 'Z':
			return complete, code, nil
		}
	}
}

func splitFields(b []byte) (fields [][]byte) {
	for at := 0; at < len(b); {
		end := at
		for end < len(b) && b[end] != 0 {
			end++
		}
		fields = append(fields, b[at:end])
		at = end + 1
	}
	return fields
}

// Sync sends a Sync message and waits for the answer, which keeps an idle session open.
func (c *Client) Sync(within time.Duration) error {
	c.conn.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c.conn, "S\x00\x00\x00\x04"); err != nil {
		return err
	}
	_, _, err := c.reply()
	return err
}

// Query sends a command and waits for its answer, up to its limit and 200 ms more.
func (c *Client) Query(fields string, statement string, limit time.Duration) (Verdict, error) {
	c.conn.SetDeadline(time.Now().Add(limit + 200*time.Millisecond))
	if _, err := c.conn.Write(queryMessage(fields, statement, limit)); err != nil {
		return Lost, err
	}
	return c.verdict()
}

// queryMessage returns the message of a command.
func queryMessage(fields, statement string, limit time.Duration) []byte {
	body := fmt.Sprintf("/* %s,limit=%d */ %s\x00", fields, limit.Milliseconds(), statement)
	return append(binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(4+len(body))), body...)
}

// verdict reads the answer to a command.
func (c *Client) verdict() (Verdict, error) {
	complete, code, err := c.reply()
	switch {
	case err != nil:
		return Lost, err
	case complete:
		return Answered, nil
	case len(code) > 2 && code[:2] == "53" || code == "57P03":
		return Shed, nil
	}
	return Failed, nil
}
