package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"mintkeel/internal/lab/restart"
)

// labDaemon returns the path of a daemon with fault injection: the given one or, if that is
// empty, one built from the sources here. The caller must call remove after the last daemon ends.
func labDaemon(ctx context.Context, path string) (binary string, remove func(), err error) {
	if path != "" {
		return path, func() {}, nil
	}
	folder, err := os.MkdirTemp("", "lab")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(folder) }
	binary, err = buildLabDaemon(ctx, folder)
	if err != nil {
		remove()
		return "", nil, err
	}
	return binary, remove, nil
}

// buildLabDaemon builds the daemon with fault injection into a folder and returns its path.
func buildLabDaemon(ctx context.Context, folder string) (string, error) {
	binary := filepath.Join(folder, "mintkeel")
	build := exec.CommandContext(ctx,
		"go", "build", "-tags", "mintkeel_lab", "-o", binary, "mintkeel/cmd/mintkeel")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the daemon with fault injection: %w\n%s", err, output)
	}
	return binary, nil
}

// makeDaemonPathAbsolute resolves the path of a scene's daemon against the working directory.
// Without that, a name without a folder would be looked up in PATH.
func makeDaemonPathAbsolute(scene *restart.Scene) error {
	path, err := filepath.Abs(scene.Mintkeel)
	if err != nil {
		return err
	}
	scene.Mintkeel = path
	return nil
}
