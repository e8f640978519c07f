package hollow

import (
	"context"
	"net"
	"sync/atomic"
)

// partition parts some controllers from all others.
type partition struct {
	inside map[int]bool
	healed chan struct{} // closed when it has ended
}

// partitions is the partition that there is now, if any. Its zero value is none; a nil pointer never has one.
type partitions struct{ current atomic.Pointer[partition] }

// start parts controllers from all others, in place of an earlier partition.
func (p *partitions) start(inside []int) {
	next := &partition{inside: map[int]bool{}, healed: make(chan struct{})}
	for _, number := range inside {
		next.inside[number] = true
	}
	p.replace(next)
}

// heal heals the partition.
func (p *partitions) heal() { p.replace(nil) }

func (p *partitions) replace(next *partition) {
	if before := p.current.Swap(next); before != nil {
		close(before.healed)
	}
}

// between is the partition that parts two controllers; nil: none does.
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

// await waits until no partition parts two controllers, as an attempt to connect does whose packets are lost.
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

// Cut parts controllers of the fleet from all others: connections between the two sides end, and new ones do not come up.
func (s *Share) Cut(inside []int) {
	s.partitions.start(inside)
	for _, c := range s.running() {
		c.dialer.closeCutOff()
	}
}

// Heal ends a cut.
func (s *Share) Heal() { s.partitions.heal() }

// closeCutOff ends connections to controllers on the other side.
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

// Cut parts controllers from all others.
func (f *Fleet) Cut(inside []int) error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionCut, Numbers: inside} })
	return err
}

// Heal ends a cut.
func (f *Fleet) Heal() error {
	_, err := f.callAll(requestTimeout, func(*process) *request { return &request{Action: actionHeal} })
	return err
}
