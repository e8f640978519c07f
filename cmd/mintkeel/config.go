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

// controllerConfig is the platform's configuration of a controller, read at its start. Names of its JSON
// are mapped by tags.
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

// fieldError names a field of the configuration and why it can't be used.
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
	s := &controllerConfig{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(s); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, fieldError(kind.Field, "is a "+kind.Value)
		}
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, address := range []struct{ field, value string }{{"listen", s.Listen}, {"bulletin", s.Discovery}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return nil, fieldError(address.field, fmt.Sprintf("%q is no address", address.value))
		}
	}
	seed, err := strconv.ParseUint(s.Seed, 16, 64)
	if err != nil {
		return nil, fieldError("seed", fmt.Sprintf("%q is no hexadecimal number", s.Seed))
	}
	s.seed = int64(seed)
	g := &s.Grants
	for _, grant := range []struct {
		field       string
		value, from float64
	}{{"limits.cores", g.Cores, 0}, {"limits.memory_mb", float64(g.MemoryMB), 32}, {"limits.sockets",
		float64(g.Descriptors), 64}} {
		if !(grant.value > 0) || grant.value < grant.from || math.IsInf(grant.value, 0) {
			return nil, fieldError(grant.field, fmt.Sprintf("%v is too little", grant.value))
		}
	}
	if s.Settings == nil {
		return nil, fieldError("settings", "is missing")
	}
	facts, err := settings.Read(settings.Flatten(s.Settings))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.facts = facts
	if s.endpointUpdates, err = s.InitialEndpoints.Read(&facts.Names); err != nil {
		return nil, err
	}
	return s, nil
}
