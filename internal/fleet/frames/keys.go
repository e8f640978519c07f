package frames

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
)

// Bounds of a key file.
const (
	minKeyBytes     = 16
	maxKeys         = 8
	maxKeyFileBytes = 4096
)

// Key is a secret that all controllers of a fleet share.
type Key []byte

// Keys are the keys of a key file. The first one authenticates outgoing connections; incoming ones
// may use any, so that keys can be changed while the fleet runs.
type Keys []Key

// ReadKeys reads a key file: one key per line, in hexadecimal digits. Empty lines and lines that
// start with # are ignored.
func ReadKeys(path string) (Keys, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxKeyFileBytes+1))
	if err != nil {
		return nil, err
	}
	var keys Keys
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := parseKey(path, line)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 || len(keys) > maxKeys || len(text) > maxKeyFileBytes {
		return nil, fmt.Errorf("%s: has %d keys: must have 1 to %d in at most 4 KiB", path, len(keys),
			maxKeys)
	}
	return keys, nil
}

// parseKey parses one key. Its errors name only the file, as the line may be a secret.
func parseKey(path, line string) (Key, error) {
	key, err := hex.DecodeString(line)
	if err != nil {
		return nil, fmt.Errorf("%s: a line is not a hexadecimal number", path)
	}
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("%s: a key has fewer than %d bytes", path, minKeyBytes)
	}
	return key, nil
}
