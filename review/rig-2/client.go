//go:build review2

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// session is a client's connection, with one query at a time.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// reply is the answer to a query.
type reply struct {
	rows    int
	done    bool   // CommandComplete
	empty   bool   // EmptyQueryResponse
	code    string // of an error
	text    string
	err     error // no whole answer came
	wroteAt time.Time
	at      time.Time
}

// verdict names the answer as the protocol page does.
func (p reply) verdict() string {
	switch {
	case p.err != nil:
		return "no answer (" + p.err.Error() + ")"
	case p.code == "" && p.done:
		return "served"
	case strings.HasPrefix(p.code, "53") || p.code == "57P03":
		return "refused " + p.code
	}
	return "failed " + p.code
}

func dial(address string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn, bufio.NewReader(conn)}
	body := []byte("\x00\x03\x00\x00user\x00app\x00database\x00core\x00\x00")
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	if p := s.read(); p.err != nil || p.code != "" {
		conn.Close()
		return nil, fmt.Errorf("start-up: %s", p.verdict())
	}
	return s, nil
}

func (s *session) close() { s.conn.Close() }

// send writes a query and returns when its last byte was written.
func (s *session) send(text string) (time.Time, error) {
	message := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, uint32(len(text)+5))...)
	message = append(append(message, text...), 0)
	s.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err := s.conn.Write(message)
	return time.Now(), err
}

// await reads the answer to the open query.
func (s *session) await(until time.Time) reply {
	s.conn.SetReadDeadline(until)
	p := s.read()
	p.at = time.Now()
	return p
}

// ask sends a query and reads its answer.
func (s *session) ask(text string, within time.Duration) reply {
	at, err := s.send(text)
	if err != nil {
		return reply{err: err, wroteAt: at, at: time.Now()}
	}
	p := s.await(at.Add(within))
	p.wroteAt = at
	return p
}

// read reads messages up to ReadyForQuery.
func (s *session) read() (p reply) {
	for {
		var head [5]byte
		if _, err := io.ReadFull(s.reader, head[:]); err != nil {
			p.err = err
			return p
		}
		n := int(binary.BigEndian.Uint32(head[1:])) - 4
		if n < 0 || n > 1<<20 {
			p.err = errors.New("message of a wrong length")
			return p
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(s.reader, body); err != nil {
			p.err = err
			return p
		}
		switch head[0] {
		case 'D':
			p.rows++
		case 'C':
			p.done = true
		case 'I':
			p.empty = true
		case 'E':
			for _, field := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					p.code = field[1:]
				} else if strings.HasPrefix(field, "M") {
					p.text = field[1:]
				}
			}
		case 'Z':
			return p
		}
	}
}

// newID returns 16 hex digits.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// query returns the text of a query: its id and its text with the fields in a comment.
func query(verb string, limitMS int, more, statement string) (id, text string) {
	id = newID()
	return id, fmt.Sprintf("/* verb=%s,txn=%s,limit=%d%s */ %s", verb, id, limitMS, more, statement)
}
