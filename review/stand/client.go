//go:build review

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// client is a client's session: PostgreSQL protocol 3.0, simple queries.
type client struct {
	w    *world
	conn net.Conn
	r    *bufio.Reader
	pid  uint32
	key  uint32
}

// answer is what a client got.
type answer struct {
	kind string // served, refused, failed, empty, cancelled by its own client, closed (no whole answer)
	code string
	text string
	at   time.Time
}

func (a answer) String() string { return strings.TrimSpace(a.kind + " " + a.code + " " + a.text) }

// dial opens a session at the first controller.
func dial(w *world) (*client, error) { return dialTo(w, w.addr) }

func dialTo(w *world, addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{w: w, conn: conn, r: bufio.NewReader(conn)}
	body := binary.BigEndian.AppendUint32(nil, 3<<16)
	body = append(body, "user\x00app\x00database\x00core\x00\x00"...)
	if _, err := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)); err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	defer conn.SetReadDeadline(time.Time{})
	for {
		kind, text, err := c.message()
		if err != nil || kind == 'E' {
			conn.Close()
			return nil, fmt.Errorf("no session: %v %q", err, text)
		}
		switch kind {
		case 'K':
			c.pid, c.key = binary.BigEndian.Uint32(text), binary.BigEndian.Uint32(text[4:])
		case 'Z':
			return c, nil
		}
	}
}

func (c *client) close() { c.conn.Close() }

// message reads one message.
func (c *client) message() (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(c.r, head); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<20 {
		return 0, nil, fmt.Errorf("a length of %d", n)
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(c.r, body)
	return head[0], body, err
}

// query returns the message of a statement.
func query(text string) []byte {
	b := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, uint32(len(text)+5))...)
	return append(append(b, text...), 0)
}

// receive reads a whole answer.
func (c *client) receive(within time.Duration) answer {
	c.conn.SetReadDeadline(time.Now().Add(within))
	a := answer{kind: "closed"}
	for {
		kind, body, err := c.message()
		a.at = time.Now()
		if ne, ok := err.(net.Error); ok && ne.Timeout() {
			return answer{kind: "none", text: "no answer within " + within.String(), at: time.Now()}
		}
		if err != nil {
			if a.kind != "refused" && a.kind != "failed" {
				a.kind, a.text = "closed", err.Error()
			}
			return a
		}
		switch kind {
		case 'I':
			a.kind = "empty"
		case 'C':
			a.kind = "served"
		case 'D':
			a.text += strings.TrimSpace(strings.Map(func(r rune) rune {
				if r < 32 {
					return ' '
				}
				return r
			}, string(body)))
		case 'E':
			a.kind = "failed"
			for _, part := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(part, "C") {
					a.code = part[1:]
				} else if strings.HasPrefix(part, "M") {
					a.text = part[1:]
				}
			}
			if strings.HasPrefix(a.code, "53") || a.code == "57P03" {
				a.kind = "refused"
			}
		case 'Z':
			return a
		}
	}
}

func (c *client) empty() answer {
	c.conn.Write(query(""))
	return c.receive(2 * time.Second)
}

// cancel sends a CancelRequest for a session on a new connection.
func (c *client) cancel() error {
	conn, err := net.DialTimeout("tcp", c.w.addr, time.Second)
	if err != nil {
		return err
	}
	b := binary.BigEndian.AppendUint32(nil, 16)
	b = binary.BigEndian.AppendUint32(b, 80877102)
	b = binary.BigEndian.AppendUint32(b, c.pid)
	b = binary.BigEndian.AppendUint32(b, c.key)
	_, err = conn.Write(b)
	go func() {
		time.Sleep(time.Second)
		conn.Close()
	}()
	return err
}

// newID returns an id of 16 hex digits.
func newID() string {
	b := make([]byte, 8)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// statement returns a statement with its fields; work is how long the executor takes, on as many threads as the class has.
func (w *world) statement(class, id string, limit, work float64, more string, group int) string {
	return fmt.Sprintf("/* verb=%s,txn=%s,limit=%.0f,team=%s,cpu=%.1f,est_mb=64%s */ SELECT day, count(*), max(note) "+
		"FROM sales_%d.orders WHERE n = WORK(%.0f) GROUP BY day",
		class, id, limit, w.site.tenant, work*w.site.threads[class], more, group, work)
}
