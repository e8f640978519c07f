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

// start is what a controller is told at its start.
type start struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Grants struct {
		Cores       float64 `json:"cores"`
		MemoryMB    int     `json:"memory_mb"`
		Descriptors int     `json:"sockets"`
	} `json:"limits"`
	Feed     string                `json:"bulletin"`
	Known    discovery.InitialList `json:"known"`
	Settings map[string]any        `json:"settings"`

	seed  int64
	facts *settings.Facts
	news  []discovery.Update
}

func bad(field, why string) error { return &settings.FieldError{Field: field, Why: why} }

// fieldOf is the field that an error names; empty if it names none.
func fieldOf(err error) string {
	var f *settings.FieldError
	if errors.As(err, &f) {
		return f.Field
	}
	return ""
}

// readStart reads a configuration; its error names the field that can't be used.
func readStart(path string) (*start, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return parseStart(text)
}

func parseStart(text []byte) (*start, error) {
	s := &start{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(s); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return nil, bad(kind.Field, "is a "+kind.Value)
		}
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, address := range []struct{ field, value string }{{"listen", s.Listen}, {"bulletin", s.Feed}} {
		if _, _, err := net.SplitHostPort(address.value); err != nil {
			return nil, bad(address.field, fmt.Sprintf("%q is no address", address.value))
		}
	}
	seed, err := strconv.ParseUint(s.Seed, 16, 64)
	if err != nil {
		return nil, bad("seed", fmt.Sprintf("%q is no hexadecimal number", s.Seed))
	}
	s.seed = int64(seed)
	g := &s.Grants
	for _, grant := range []struct {
		field       string
		value, from float64
	}{{"limits.cores", g.Cores, 0}, {"limits.memory_mb", float64(g.MemoryMB), 32}, {"limits.sockets",
		float64(g.Descriptors), 64}} {
		if !(grant.value > 0) || grant.value < grant.from || math.IsInf(grant.value, 0) {
			return nil, bad(grant.field, fmt.Sprintf("%v is too little", grant.value))
		}
	}
	if s.Settings == nil {
		return nil, bad("settings", "is missing")
	}
	facts, err := settings.Read(settings.Flatten(s.Settings))
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.facts = facts
	if s.news, err = s.Known.Read(&facts.Names); err != nil {
		return nil, err
	}
	return s, nil
}
