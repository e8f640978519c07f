package loopback

import (
	"net"
	"strconv"
	"sync"
	"testing"
)

// TestHostsDiffer checks that no two processes share a host, including those whose ids differ in a single bit.
func TestHostsDiffer(t *testing.T) {
	const largest = 1 << 22
	seen := make(map[string]int, largest)
	for pid := 1; pid < largest; pid += 1 + pid>>15 { // all small ids, fewer large ones
		if other, taken := seen[host(pid)]; taken {
			t.Fatalf("processes %d and %d share host %s, want different ones", other, pid, host(pid))
		}
		seen[host(pid)] = pid
	}
	for bit := range 22 {
		if a, b := 0x155555, 0x155555^1<<bit; host(a) == host(b) {
			t.Errorf("processes %d and %d share host %s, want different ones", a, b, host(a))
		}
	}
}

// TestReserveUnique checks that concurrent callers never get the same address, although no address is in use, and that
// all ports are below the ephemeral range of the system.
func TestReserveUnique(t *testing.T) {
	const callers, each = 8, 50
	var mu sync.Mutex
	seen := map[string]bool{}
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range each {
				address, err := Reserve()
				if err != nil {
					t.Error(err)
					return
				}
				_, text, err := net.SplitHostPort(address)
				if err != nil {
					t.Error(err)
				}
				if port, err := strconv.Atoi(text); err != nil || port < firstPort || port >= firstPort+portCount {
					t.Errorf("reserved %s (port error %v), want a port in the range of reserved ports", address, err)
				}
				mu.Lock()
				if seen[address] {
					t.Errorf("%s is reserved twice, want unique addresses", address)
				}
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
}

// TestReserveBusy checks that an address in use is skipped.
func TestReserveBusy(t *testing.T) {
	first, err := Reserve()
	if err != nil {
		t.Fatal(err)
	}
	host, _, err := net.SplitHostPort(first)
	if err != nil {
		t.Fatal(err)
	}
	next := net.JoinHostPort(host, strconv.Itoa(int(firstPort+reserved.Load()%portCount)))
	listener, err := net.Listen("tcp", next)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	got, err := Reserve()
	if err != nil || got == next {
		t.Errorf("reserved %s, error %v; want no error and an address that is not in use", got, err)
	}
}
