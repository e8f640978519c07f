package loopback

import (
	"net"
	"strconv"
	"sync"
	"testing"
)

// TestHostsDiffer checks that no two processes share a host, also such whose ids differ in one bit alone.
func TestHostsDiffer(t *testing.T) {
	const largest = 1 << 22
	seen := make(map[string]int, largest)
	for pid := 1; pid < largest; pid += 1 + pid>>15 { // all small ids, fewer large ones
		if other, taken := seen[host(pid)]; taken {
			t.Fatalf("processes %d and %d share %s", other, pid, host(pid))
		}
		seen[host(pid)] = pid
	}
	for bit := range 22 {
		if a, b := 0x155555, 0x155555^1<<bit; host(a) == host(b) {
			t.Errorf("processes %d and %d share %s", a, b, host(a))
		}
	}
}

// TestReserveUnique checks that an address is not given twice, whoever asks at the same time and whether it was used
// meanwhile, and that it lies below the ports that the system hands out.
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
					t.Errorf("port of %s: %v", address, err)
				}
				mu.Lock()
				if seen[address] {
					t.Errorf("%s is given twice", address)
				}
				seen[address] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
}

// TestReserveBusy has the next address be in use: it is passed over.
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
		t.Errorf("reserved %s: %v", got, err)
	}
}
