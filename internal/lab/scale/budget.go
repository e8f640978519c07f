package scale

import (
	"bufio"
	"errors"
	"io"
	"io/fs"
	"os"
	"strings"

	"mintkeel/internal/lab/scale/slope"
)

// Excess identifies a row whose value is over its budget.
type Excess struct{ Role, Cost, Condition string }

// excessPrefix starts each line of the capacity page that lists a known excess.
const excessPrefix = "over budget: "

// String returns the line of the capacity page that lists the excess.
func (e Excess) String() string {
	return excessPrefix + e.Role + ": " + e.Cost + " (" + e.Condition + ")"
}

// ReadKnown reads the excesses that a page lists in lines of the form "over budget: ROLE: COST (CONDITION)". The lines may
// be list items and may have text after the condition.
func ReadKnown(r io.Reader) (map[Excess]bool, error) {
	known := map[Excess]bool{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if e, ok := parseExcess(lines.Text()); ok {
			known[e] = true
		}
	}
	return known, lines.Err()
}

func parseExcess(line string) (Excess, bool) {
	line = strings.TrimLeft(strings.TrimSpace(line), "-* ")
	rest, found := strings.CutPrefix(line, excessPrefix)
	if !found {
		return Excess{}, false
	}
	role, rest, found := strings.Cut(rest, ": ")
	if !found {
		return Excess{}, false
	}
	cost, rest, found := strings.Cut(rest, " (")
	if !found {
		return Excess{}, false
	}
	condition, _, found := strings.Cut(rest, ")")
	return Excess{role, cost, condition}, found && role != "" && cost != "" && condition != ""
}

// ReadKnownFile is ReadKnown of a file. A missing file lists no excess.
func ReadKnownFile(path string) (map[Excess]bool, error) {
	f, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return ReadKnown(f)
}

// Excesses returns the rows over their budget, divided by whether their value at the target size was measured or
// extrapolated.
func Excesses(rows []slope.Row) (measured, extrapolated []Excess) {
	for _, r := range rows {
		if r.Ratio() <= 1 {
			continue
		}
		e := Excess{r.Role, r.Cost, r.Condition}
		if _, ok := r.AtTarget(); ok {
			measured = append(measured, e)
		} else {
			extrapolated = append(extrapolated, e)
		}
	}
	return measured, extrapolated
}
