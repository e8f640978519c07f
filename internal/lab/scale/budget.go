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

// Excess names a row whose value is over its budget.
type Excess struct{ Role, Cost, Condition string }

// excessPrefix begins the page's lines of what is known to be over its budget.
const excessPrefix = "over budget: "

// String is the line of the page.
func (e Excess) String() string {
	return excessPrefix + e.Role + ": " + e.Cost + " (" + e.Condition + ")"
}

// ReadKnown reads what a page tells to be over its budget, from lines as "over budget: ROLE: COST (CONDITION)". The lines
// may be items of a list and have words behind the condition.
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

// ReadKnownFile reads a page. One that is not there tells nothing.
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

// Excesses are the rows over their budget: those whose value was measured, and those that are extrapolated.
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
