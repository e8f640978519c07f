package hollow

import (
	"context"
	"errors"
	"testing"
)

// Daemons that can't be built or started are an error, and what was begun is ended.
func TestDaemonsThatDoNotStart(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if d, err := (&Fleet{}).startDaemons(ctx, 1, 1); d != nil || !errors.Is(err, context.Canceled) {
		t.Errorf("%v, %v", d, err)
	}
}
