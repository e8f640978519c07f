package fleet

import (
	"context"
	"io"
	"math/rand"
	"net"
	"sync"
	"time"
)

// Switch is a proxy between each pair of processes. A process opens each connection to the switch, and sends the address that
// it means first. The switch forwards the connection's bytes subject to the current faults. Bytes are held back while their
// direction is blocked, as a partitioned network gives no error; connections are reset where messages are to be lost.
type Switch struct {
	mu           sync.Mutex
	rng          *rand.Rand
	byAddr       map[string]int // where a node listens
	blocked      map[[2]int]time.Time
	drop         float64
	dropUntil    time.Time
	delay        time.Duration
	delayUntil   time.Time
	corrupt      float64
	corruptUntil time.Time
	listeners    []net.Listener
	conns        map[net.Conn]bool
	ctx          context.Context
	cancel       context.CancelFunc
	group        sync.WaitGroup
}

// NewSwitch returns a switch for nodes that listen at these addresses. Node i has to connect to At(i).
func NewSwitch(addrs []string, seed int64) (*Switch, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Switch{rng: rand.New(rand.NewSource(seed)), byAddr: map[string]int{}, blocked: map[[2]int]time.Time{},
		conns: map[net.Conn]bool{}, ctx: ctx, cancel: cancel}
	for i, addr := range addrs {
		s.byAddr[addr] = i
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, err
		}
		s.listeners = append(s.listeners, listener)
		s.group.Go(func() { s.serve(listener, i) })
	}
	return s, nil
}

// At returns the address to which a node has to open its connections.
func (s *Switch) At(i int) string { return s.listeners[i].Addr().String() }

// Close closes all connections and waits until the switch has ended.
func (s *Switch) Close() {
	s.cancel()
	for _, l := range s.listeners {
		l.Close()
	}
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

// Block holds back all bytes from a to b until a time.
func (s *Switch) Block(a, b int, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := [2]int{a, b}; a != b && until.After(s.blocked[k]) {
		s.blocked[k] = until
	}
}

// Drop resets the connection at a share of all writes, until a time.
func (s *Switch) Drop(share float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop, s.dropUntil = share, until
}

// Corrupt flips one bit in a share of all writes, until a time.
func (s *Switch) Corrupt(share float64, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt, s.corruptUntil = share, until
}

// Delay delays each write by up to maxDelay, until a time.
func (s *Switch) Delay(maxDelay time.Duration, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.delayUntil = maxDelay, until
}

func (s *Switch) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		c.Close()
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Switch) untrack(c net.Conn) {
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Switch) serve(listener net.Listener, from int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.track(conn) {
			return
		}
		s.group.Go(func() { s.forward(conn, from) })
	}
}

func (s *Switch) forward(conn net.Conn, from int) {
	defer s.untrack(conn)
	head := make([]byte, 1)
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(conn, head); err != nil {
		return
	}
	addr := make([]byte, head[0])
	if _, err := io.ReadFull(conn, addr); err != nil {
		return
	}
	conn.SetReadDeadline(time.Time{})
	s.mu.Lock()
	to, ok := s.byAddr[string(addr)]
	s.mu.Unlock()
	if !ok || !s.waitUnblocked(from, to) {
		return
	}
	target, err := net.DialTimeout("tcp", string(addr), time.Second)
	if err != nil || !s.track(target) {
		return
	}
	defer s.untrack(target)
	var both sync.WaitGroup
	both.Go(func() { s.copy(target, conn, from, to); target.Close(); conn.Close() })
	both.Go(func() { s.copy(conn, target, to, from); target.Close(); conn.Close() })
	both.Wait()
}

// waitUnblocked waits until bytes may pass; it reports false when the switch ends.
func (s *Switch) waitUnblocked(from, to int) bool {
	for {
		s.mu.Lock()
		until := s.blocked[[2]int{from, to}]
		s.mu.Unlock()
		left := time.Until(until)
		if left <= 0 {
			return s.ctx.Err() == nil
		}
		select {
		case <-s.ctx.Done():
			return false
		case <-time.After(min(left, 50*time.Millisecond)):
		}
	}
}

func (s *Switch) copy(to, from net.Conn, a, b int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !s.waitUnblocked(a, b) {
				return
			}
			s.mu.Lock()
			now := time.Now()
			reset := now.Before(s.dropUntil) && s.rng.Float64() < s.drop
			delay := time.Duration(0)
			if now.Before(s.delayUntil) {
				delay = time.Duration(s.rng.Float64() * float64(s.delay))
			}
			if now.Before(s.corruptUntil) && s.rng.Float64() < s.corrupt {
				buffer[s.rng.Intn(n)] ^= 1 << s.rng.Intn(8)
			}
			s.mu.Unlock()
			if reset {
				if tcp, ok := to.(*net.TCPConn); ok {
					tcp.SetLinger(0)
				}
				return
			}
			if delay > 0 {
				select {
				case <-s.ctx.Done():
					return
				case <-time.After(delay):
				}
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
