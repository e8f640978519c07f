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

// Cost is the daemon's cost of serving a scene, with the benefit that it achieved.
type Cost struct {
	Processor float64 // ms of processor time for each command
	Benefit   float64
}

// Path measures the processor time of the daemon's whole data path over a scene, without the time for starting and reading
// the rules. The rules are text of an operator's file.
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

// processorTime returns the processor time that a process has used, in ms. The kernel counts it in units of 10 ms.
func processorTime(pid int) (float64, error) {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0, err
	}
	// The second field, in parentheses, may contain spaces: these fields begin with the third.
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has too few fields")
	}
	user, err1 := strconv.ParseFloat(fields[11], 64)
	system, err2 := strconv.ParseFloat(fields[12], 64)
	return (user + system) * 10, errors.Join(err1, err2)
}

// SyntheticRules returns n rules of an operator that each set a label on reports of a table group. The even ones name groups
// of the scene in turn. Odd rule i names group i, which the scene lacks unless i is less than groups.
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

// Median returns the median of some values; 0 for none.
func Median(xs []float64) float64 {
	sorted := slices.Sorted(slices.Values(xs))
	if len(sorted) == 0 {
		return 0
	}
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}
