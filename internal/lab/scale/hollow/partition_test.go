package hollow

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// A partition closes connections between its sides and makes new ones hang until it is healed. Connections within a side
// stay open.
func TestPartition(t *testing.T) {
	network := NewNetwork(20)
	cut := &partitions{}
	accept := func(number int) {
		listener, err := net.Listen("tcp", network.address(number).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		go func() {
			for {
				if _, err := listener.Accept(); err != nil {
					return
				}
			}
		}()
	}
	accept(1)
	accept(2)
	d := newDialer(0, network, make([]flowCounter, 3), cut)
	dial := func(ctx context.Context, number int) net.Conn {
		t.Helper()
		conn, err := d.dial(ctx, network.address(number).String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	same, other := dial(t.Context(), 1), dial(t.Context(), 2)
	cut.start([]int{0, 1})
	d.closeCutOff()
	if _, err := other.Write([]byte{1}); err == nil {
		t.Error("a connection between the sides is still open")
	}
	if _, err := same.Write([]byte{1}); err != nil {
		t.Errorf("write on a connection within a side: %v", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := d.dial(ctx, network.address(2).String()); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("new connection between the sides: %v, want context.DeadlineExceeded", err)
	}
	connected := make(chan error, 1)
	go func() {
		conn, err := d.dial(t.Context(), network.address(2).String())
		if err == nil {
			conn.Close()
		}
		connected <- err
	}()
	cut.heal()
	if err := <-connected; err != nil {
		t.Errorf("the waiting connection after the heal: %v", err)
	}
	other.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.conns) != 1 {
		t.Errorf("%d connections are registered as open, want 1", len(d.conns))
	}
}

// portTests counts the runs of TestSourcePortsRest in this process.
var portTests atomic.Int64

// A fleet uses more source ports than a dialer tries and closes its connections first, so that the system keeps these ports
// in TIME_WAIT. Another fleet of the same process must still be able to connect.
func TestSourcePortsRest(t *testing.T) {
	connect := func(network Network, count int) {
		t.Helper()
		listener, err := net.Listen("tcp", network.address(1).String())
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		d := newDialer(0, network, make([]flowCounter, 2), nil)
		for range count {
			conn, err := d.dial(t.Context(), listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conn.Close()
			accepted.Close()
		}
	}
	pair := 40 + 2*int(portTests.Add(1)-1)%(fleetsPerProcess-40) // numbers of fleets that no other test uses; ports of an earlier run are in TIME_WAIT
	connect(NewNetwork(pair), 2*portAttempts)
	connect(NewNetwork(pair+1), 1)
}
