package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"time"
)

// maxAnswerBytes bounds the size of an answer that Call reads.
const maxAnswerBytes = 16 << 20

// Call sends a request to the controller that has this folder open. If the controller reports an
// error, Call returns it together with the rest of the status.
func Call(ctx context.Context, folder string, r Request) (Status, error) {
	if r.Config != nil {
		if refused := r.Config.RefuseOversized(); refused != nil {
			return Status{Config: refused}, nil
		}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "unix", filepath.Join(folder, socketName))
	if err != nil {
		return Status{}, fmt.Errorf("no controller answers on the socket in %s: %w", folder, err)
	}
	defer conn.Close()
	// The controller's own deadline is earlier, so that its error arrives here.
	deadline := time.Now().Add(r.maxDuration() + socketTimeout + Timeout)
	conn.SetDeadline(deadline)
	if err := json.NewEncoder(conn).Encode(r); err != nil {
		return Status{}, err
	}
	var status Status
	if err := json.NewDecoder(io.LimitReader(conn, maxAnswerBytes)).Decode(&status); err != nil {
		return Status{}, fmt.Errorf("reading the controller's answer: %w", err)
	}
	if status.Error != "" {
		return status, errors.New(status.Error)
	}
	return status, nil
}
