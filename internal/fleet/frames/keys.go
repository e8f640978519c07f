package frames

import (
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
)

// Bounds of a file of keys.
const (
	minKeyBytes     = 16
	maxKeys         = 8
	maxKeyFileBytes = 4096
)

// Key is a secret that all controllers of a fleet have.
type Key []byte

// Keys are those of a file. The first one is used to send; frames made with any are accepted, so
// that keys can be changed while the fleet runs.
type Keys []Key

// ReadKeys reads a file of keys, one a line, in hexadecimal digits. Lines with # are comments.
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
		return nil, fmt.Errorf("%s: holds %d keys: 1 to %d are possible", path, len(keys), maxKeys)
	}
	return keys, nil
}

// parseKey reads one key. Errors name the file alone: the line may be a secret.
func parseKey(path, line string) (Key, error) {
	key, err := hex.DecodeString(line)
	if err != nil {
		return nil, fmt.Errorf("%s: a line is no hexadecimal number", path)
	}
	if len(key) < minKeyBytes {
		return nil, fmt.Errorf("%s: a key has under %d bytes", path, minKeyBytes)
	}
	return key, nil
}
