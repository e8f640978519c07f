package restart

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Cost is what serving a scene took of the daemon.
type Cost struct {
	Processor float64 // ms for each command
	Benefit   float64
}

// Path measures the daemon's whole path: a scene is played, and the process's time on processors is taken over it,
// without what starting and reading the rules took. Rules stand as in an operator's file.
func Path(ctx context.Context, s Scene, rules string) (cost Cost, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.Learn+s.Measure+30*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "path")
	if err != nil {
		return cost, err
	}
	defer os.RemoveAll(dir)
	w, err := open(ctx, s, dir, 0)
	if err != nil {
		return cost, err
	}
	defer w.close()
	w.rules = rules
	p, err := w.start(ctx)
	if err != nil {
		return cost, err
	}
	defer p.kill()
	w.play(ctx, s.Learn, nil)
	before, err := processorTime(p.cmd.Process.Pid)
	if err != nil {
		return cost, err
	}
	var out Outcome
	w.play(ctx, s.Measure, &out)
	after, err := processorTime(p.cmd.Process.Pid)
	if err != nil {
		return cost, err
	}
	return Cost{(after - before) / float64(max(1, out.Commands)), out.Benefit}, ctx.Err()
}

// processorTime is the time that a process has had on processors, in ms: the kernel counts it in hundredths of a second.
func processorTime(pid int) (float64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:])) // from the third on
	if len(fields) < 13 {
		return 0, errors.New("the kernel's form is not known")
	}
	user, err1 := strconv.ParseFloat(fields[11], 64)
	system, err2 := strconv.ParseFloat(fields[12], 64)
	return (user + system) * 10, errors.Join(err1, err2)
}

// SyntheticRules is an operator's rules of so many: half ask for a table group that is asked for, half for none that is there,
// and each gives a label or narrows nothing.
func SyntheticRules(n, groups int) string {
	var b strings.Builder
	for i := range n {
		group := i
		if i%2 == 0 {
			group = i / 2 % groups
		}
		fmt.Fprintf(&b, "rule \"r%d\" {\n  when = \"table_group == %d && profile == 'report'\"\n  labels = { at = \"'%d'\" }\n}\n", i, group, i)
	}
	return b.String()
}

// Median is the middle of some figures.
func Median(xs []float64) float64 {
	sorted := slices.Sorted(slices.Values(xs))
	if len(sorted) == 0 {
		return 0
	}
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}
