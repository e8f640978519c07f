package hollow

import (
	"context"
	"net"
	"sync/atomic"
)

// partition separates some controllers from all others.
type partition struct {
	inside map[int]bool
	healed chan struct{} // closed when the partition ends
}

// partitions holds the current partition, if there is one. The zero value has none, and a nil pointer never has one.
type partitions struct{ current atomic.Pointer[partition] }

// start separates controllers from all others and ends an earlier partition.
func (p *partitions) start(inside []int) {
	next := &partition{inside: map[int]bool{}, healed: make(chan struct{})}
	for _, number := range inside {
		next.inside[number] = true
	}
	p.replace(next)
}

// heal ends the partition.
func (p *partitions) heal() { p.replace(nil) }

func (p *partitions) replace(next *partition) {
	if before := p.current.Swap(next); before != nil {
		close(before.healed)
	}
}

// between returns the partition that separates two controllers, or nil if there is none.
func (p *partitions) between(a, b int) *partition {
	if p == nil {
		return nil
	}
	now := p.current.Load()
	if now == nil || now.inside[a] == now.inside[b] {
		return nil
	}
	return now
}

// await waits until no partition separates two controllers, as a connection attempt does while its packets are lost.
func (p *partitions) await(ctx context.Context, a, b int) error {
	for {
		now := p.between(a, b)
		if now == nil {
			return nil
		}
		select {
		case <-now.healed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Cut separates controllers of the fleet from all others: connections between the two sides are closed, and new ones hang.
func (s *Share) Cut(inside []int) {
	s.partitions.start(inside)
	for _, c := range s.running() {
		c.dialer.closeCutOff()
	}
}

// Heal ends the partition.
func (s *Share) Heal() { s.partitions.heal() }

// closeCutOff closes the connections to controllers on the other side of the partition.
func (d *dialer) closeCutOff() {
	d.mu.Lock()
	var parted []net.Conn
	for conn := range d.conns {
		if d.partitions.between(d.number, conn.peer) != nil {
			parted = append(parted, conn.Conn)
		}
	}
	d.mu.Unlock()
	for _, conn := range parted {
		conn.Close()
	}
}

// Cut separates controllers from all others.
func (f *Fleet) Cut(inside []int) error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionCut, Numbers: inside} })
	return err
}

// Heal ends the partition.
func (f *Fleet) Heal() error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionHeal} })
	return err
}
