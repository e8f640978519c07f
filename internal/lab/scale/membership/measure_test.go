package membership

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"mintkeel/internal/core/fleet/members"
)

// All rows are measured at four sizes, and the values that do not depend on the machine stay within their bounds.
func TestMeasureQuick(t *testing.T) {
	if testing.Short() {
		t.Skip("takes some seconds")
	}
	rows, err := Measure(context.Background(), Options{Quick: true, Seeds: 1, fleetSizes: measuredSizes})
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		if len(row.Points) != 4 {
			t.Errorf("%s, %s: %d sizes, want 4", row.Cost, row.Condition, len(row.Points))
		}
		for _, p := range row.Points {
			switch {
			case strings.Contains(row.Cost, "bytes sent") && p.Value <= 0, row.Unit == "bytes/s" && p.Value > 5000:
				t.Errorf("%s, %s, %g controllers: %g bytes/s, want more than 0 and at most 5000", row.Cost, row.Condition, p.Size, p.Value)
			case strings.Contains(row.Cost, "death is known") && (p.Value < 4000 || p.Value > 40_000):
				t.Errorf("%s, %s, %g controllers: %g ms, want 4000 to 40000", row.Cost, row.Condition, p.Size, p.Value)
			case strings.Contains(row.Cost, "taken to be gone") && p.Value > 0:
				t.Errorf("%s, %s, %g controllers: %g per hour, want none", row.Cost, row.Condition, p.Size, p.Value)
			}
		}
	}
}

// Histories with the same seed give the same outcome.
func TestSameSeed(t *testing.T) {
	for name, play := range map[string]func(context.Context, plan) (outcome, error){
		"loss": func(ctx context.Context, p plan) (outcome, error) { return steady(ctx, p, tenthLost, 1) },
		"zone": zoneRestarts,
	} {
		first, err := play(context.Background(), plan{size: 20, seed: 3, far: farLatency})
		if err != nil {
			t.Fatal(err)
		}
		again, err := play(context.Background(), plan{size: 20, seed: 3, far: farLatency})
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(first, again) {
			t.Errorf("%s: outcomes with the same seed differ: %+v, then %+v", name, first, again)
		}
	}
}

// A measurement returns an error when its context is cancelled.
func TestCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Measure(ctx, Options{Quick: true}); err == nil {
		t.Error("a measurement with a cancelled context returns no error")
	}
}

// The sizes of frames and of a connection's opening match those of package frames and of TCP.
func TestConnectionSizes(t *testing.T) {
	if got, want := segments(100), (traffic{100 + 52, 52}); got != want {
		t.Errorf("cost of a small frame: %+v", got)
	}
	if got, want := segments(3000), (traffic{3000 + 3*52, 2 * 52}); got != want {
		t.Errorf("cost of a frame of three segments: %+v", got)
	}
	hello, err := helloBytes("n1", "n2", 1<<63)
	if err != nil || hello < 80 || hello > 120 {
		t.Errorf("a hello has %d bytes, want 80 to 120; error %v", hello, err)
	}
	cost := handshake(100)
	if cost.sender != 60+52+152+104 || cost.receiver != 60+92+52+52 {
		t.Errorf("cost of opening and closing a connection: %+v", cost)
	}
}

// The number of connections out is bounded, the least recently used one is dropped, and an idle one is not reused after its
// timeout.
func TestPeerTable(t *testing.T) {
	peers := peerTable{}
	for i := range 100 {
		id := peerName(i)
		peers.add(id, &connection{lastUsed: float64(i)})
	}
	if len(peers) != 64 || peers[peerName(35)] != nil || peers[peerName(36)] == nil {
		t.Errorf("%d connections, want 64, without peer 35 and with peer 36", len(peers))
	}
	if peers.reuse(peerName(99), 99+idleTimeout()) == nil || peers.reuse(peerName(99), 100+idleTimeout()) != nil {
		t.Error("an idle connection is not reused until its timeout, or is reused after it")
	}
}

func peerName(i int) members.ID { return members.ID(fmt.Sprintf("n%d", i)) }
