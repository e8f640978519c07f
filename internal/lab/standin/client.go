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

// Dial opens a session within a time.
func Dial(ctx context.Context, addr string, within time.Duration) (*Client, error) {
	dialer := net.Dialer{Timeout: within}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &Client{conn, bufio.NewReader(conn)}
	conn.SetDeadline(time.Now().Add(within))
	_, err = io.WriteString(conn, "\x00\x00\x00\x20\x00\x03\x00\x00user\x00app\x00database\x00core\x00\x00")
	if err == nil {
		_, _, err = c.reply()
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
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
	body := fmt.Sprintf("/* %s,limit=%d */ %s\x00", fields, limit.Milliseconds(), statement)
	c.conn.SetDeadline(time.Now().Add(limit + 200*time.Millisecond))
	if _, err := fmt.Fprintf(c.conn, "Q%s%s", binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body); err != nil {
		return Lost, err
	}
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
