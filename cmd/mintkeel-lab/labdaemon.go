package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"mintkeel/internal/lab/restart"
)

// labDaemon returns the path of a daemon with the rigs' fault injection: the given one or, if
// that is empty, one that is built from the sources here. The caller calls remove when no daemon
// runs any more.
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

// buildLabDaemon builds the daemon with the rigs' fault injection into a folder.
func buildLabDaemon(ctx context.Context, folder string) (string, error) {
	binary := filepath.Join(folder, "mintkeel")
	build := exec.CommandContext(ctx,
		"go", "build", "-tags", "mintkeel_lab", "-o", binary, "mintkeel/cmd/mintkeel")
	if output, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the lab's daemon: %w\n%s", err, output)
	}
	return binary, nil
}

// makeDaemonPathAbsolute resolves the path of a scene's daemon. A name without a folder is a file
// of the working directory then; as it stands it would be looked up in PATH.
func makeDaemonPathAbsolute(scene *restart.Scene) error {
	path, err := filepath.Abs(scene.Mintkeel)
	if err != nil {
		return err
	}
	scene.Mintkeel = path
	return nil
}
