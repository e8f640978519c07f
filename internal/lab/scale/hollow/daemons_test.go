package hollow

import (
	"context"
	"errors"
	"testing"
)

// Daemons that cannot be built or started are reported as an error, and those that were started are stopped.
func TestDaemonsThatDoNotStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if d, err := (&Fleet{}).startDaemons(ctx, 1, 1); d != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("daemons %v, error %v; want nil and context.Canceled", d, err)
	}
}
