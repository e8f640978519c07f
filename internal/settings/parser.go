package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxListItems bounds a list of objects, whose length is read from a value and may be any number.
const maxListItems = 1_000_000

// FieldError is a setting that can't be used.
type FieldError struct {
	Field string // the key
	Why   string
}

func (e *FieldError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Why) }

// parser reads values by key. A value that can't be used is read as zero; the first such value is
// reported as the error.
type parser struct {
	values Values
	err    error
}

func (p *parser) fail(key, why string) {
	if p.err == nil {
		p.err = &FieldError{key, why}
	}
}

func (p *parser) has(key string) bool {
	_, found := p.values[key]
	return found
}

func (p *parser) float(key string) float64 { return p.parseFloat(key, p.values[key]) }

func (p *parser) int(key string) int { return int(p.float(key)) }

// milliseconds reads a duration in ns and returns it in ms.
func (p *parser) milliseconds(key string) float64 { return p.float(key) / 1e6 }

func (p *parser) bool(key string) bool {
	switch text := p.values[key]; text {
	case "true", "1":
		return true
	case "", "false", "0":
		return false
	default:
		p.fail(key, fmt.Sprintf("%q is neither true nor false", text))
		return false
	}
}

// list reads a list of scalar values; nil if it is empty or absent.
func (p *parser) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// item returns the i-th value of a list of scalar values; empty if the list is shorter.
func (p *parser) item(key string, i int) string {
	list := p.list(key)
	if i >= len(list) {
		return ""
	}
	return list[i]
}

func (p *parser) floatItem(key string, i int) float64 { return p.parseFloat(key, p.item(key, i)) }

// count returns the length of a list of objects.
func (p *parser) count(key string) int {
	n := p.float(key + ".count")
	if n < 0 || n > maxListItems {
		p.fail(key+".count", "is not from 0 to a million")
		return 0
	}
	return int(n)
}

// parseFloat parses the value of a key; 0 if it is empty.
func (p *parser) parseFloat(key, text string) float64 {
	if text == "" {
		return 0
	}
	x, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(x) {
		p.fail(key, fmt.Sprintf("%q is not a number", text))
	}
	return x
}
