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

// maxAnswerBytes bounds what a command reads of an answer.
const maxAnswerBytes = 16 << 20

// Call asks the controller that has this folder. The error may be one that the controller reports;
// then the status is set too, as far as it was answered.
func Call(ctx context.Context, folder string, r Request) (Status, error) {
	if r.Config != nil {
		if refused := r.Config.RefuseOversized(); refused != nil {
			return Status{Config: refused}, nil
		}
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "unix", filepath.Join(folder, socketName))
	if err != nil {
		return Status{}, fmt.Errorf("no controller answers in %s: %w", folder, err)
	}
	defer conn.Close()
	// The controller's own deadline is earlier, so that its error is heard.
	deadline := time.Now().Add(r.maxDuration() + socketTimeout + Timeout)
	conn.SetDeadline(deadline)
	if err := json.NewEncoder(conn).Encode(r); err != nil {
		return Status{}, err
	}
	var status Status
	if err := json.NewDecoder(io.LimitReader(conn, maxAnswerBytes)).Decode(&status); err != nil {
		return Status{}, fmt.Errorf("answer of the controller: %w", err)
	}
	if status.Error != "" {
		return status, errors.New(status.Error)
	}
	return status, nil
}
