package limits

import (
	"testing"
	"time"
)

// All that may be open at once stays under the descriptors granted, with some left for the listener, the feed and what
// is on its way out; what connections hold between commands stays under half of the memory; and a planned end comes
// ahead of the platform's, which is 0.7 s after the longest wait of a client, or after 3 s.
func TestFor(t *testing.T) {
	for _, descriptors := range []int{64, 256, 384, 1024} {
		for _, memory := range []int{32, 48, 64, 128, 192} {
			l := For(descriptors, memory, 0, 0, 0)
			if spare := descriptors - l.Connections - l.EngineConns; spare < 9 || spare < descriptors/10 {
				t.Errorf("%d descriptors, %d MB: %d left", descriptors, memory, spare)
			}
			if held := (l.Connections + l.EngineConns) * mostHeld; held > memory<<20/2 {
				t.Errorf("%d descriptors, %d MB: %d bytes held by connections", descriptors, memory, held)
			}
			if l.Connections < min(descriptors/3, 256) || l.EngineConns < min(descriptors/8, 64) {
				t.Errorf("%d descriptors, %d MB: %d and %d connections", descriptors, memory, l.Connections, l.EngineConns)
			}
		}
	}
	for _, c := range []struct{ longest, kill time.Duration }{
		{2 * time.Second, 2700 * time.Millisecond}, {20 * time.Second, 3700 * time.Millisecond}, {0, 3700 * time.Millisecond},
	} {
		l := For(1024, 192, 0, 0, c.longest)
		if l.StopTime >= l.EndTime || l.EndTime >= c.kill || c.kill-l.StopTime > 500*time.Millisecond {
			t.Errorf("longest wait %v: all answered within %v, ended within %v", c.longest, l.StopTime, l.EndTime)
		}
	}
}
