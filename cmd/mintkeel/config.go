package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"

	"mintkeel/internal/discovery"
	"mintkeel/internal/settings"
)

// controllerConfig is the configuration that the platform gives a controller, read at startup. Tags
// map the names of its JSON.
type controllerConfig struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Grants struct {
		Cores       float64 `json:"cores"`
		MemoryMB    int     `json:"memory_mb"`
		Descriptors int     `json:"sockets"`
	} `json:"limits"`
	Discovery        string                `json:"bulletin"`
	InitialEndpoints discovery.InitialList `json:"known"`
	Settings         map[string]any        `json:"settings"`

	seed            int64
	facts           *settings.Facts
	endpointUpdates []discovery.Update
}

// fieldError returns an error that names a field of the configuration and the reason why its value
// can't be used.
func fieldError(field, why string) error { return &settings.FieldError{Field: field, Why: why} }

// errorField returns the field that an error names, or "".
func errorField(err error) string {
	var f *settings.FieldError
	if errors.As(err, &f) {
		return f.Field
	}
	return ""
}

// readControllerConfig reads a configuration; its error names the field that can't be used.
func readControllerConfig(path string) (*controllerConfig, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return parseControllerConfig(text)
}

func parseControllerConfig(text []byte) (*controllerConfig, error) {
	config := &controllerConfig{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(config); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, fieldError(kind.Field, "is a "+kind.Value)
		}
		return nil, fmt.Errorf("configuration: %w", err)
	}
	if err := config.checkAddresses(); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(config.Seed, 16, 64)
	if err != nil {
		return nil, fieldError("seed", fmt.Sprintf("%q is not a hexadecimal number", config.Seed))
	}
	config.seed = int64(seed)
	if err := config.checkGrants(); err != nil {
		return nil, err
	}
	if config.Settings == nil {
		return nil, fieldError("settings", "is missing")
	}
	facts, err := settings.Read(settings.Flatten(config.Settings))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config.facts = facts
	config.endpointUpdates, err = config.InitialEndpoints.Read(&facts.Names)
	if err != nil {
		return nil, err
	}
	return config, nil
}

func (c *controllerConfig) checkAddresses() error {
	for _, address := range []struct{ field, value string }{
		{"listen", c.Listen},
		{"bulletin", c.Discovery},
	} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return fieldError(address.field, fmt.Sprintf("%q is no address", address.value))
		}
	}
	return nil
}

// The minimum resources that a controller needs to run.
const (
	minMemoryMB    = 32
	minDescriptors = 64
)

func (c *controllerConfig) checkGrants() error {
	for _, grant := range []struct {
		field string
		value float64
		least float64
	}{
		{"limits.cores", c.Grants.Cores, 0},
		{"limits.memory_mb", float64(c.Grants.MemoryMB), minMemoryMB},
		{"limits.sockets", float64(c.Grants.Descriptors), minDescriptors},
	} {
		if !(grant.value > 0) || grant.value < grant.least || math.IsInf(grant.value, 0) {
			return fieldError(grant.field, fmt.Sprintf("%v is too little", grant.value))
		}
	}
	return nil
}
