package dissemination

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// Options configure a comparison.
type Options struct {
	Nodes int
	Seeds int
	Seed  int64 // of the first run
	Sizes []int // sizes of documents in bytes
}

// The default fleet, the same as in package spread, and the schedule of a run.
const (
	usualNodes = 670
	usualSeeds = 20
	voters     = 7

	runTime          = 60000.0 // ms
	zoneInterval     = 10      // every zoneInterval-th controller restarts
	zoneRestartDelay = 50.0    // ms after the document was agreed on
	downTime         = 5000.0  // ms
)

// condition is the disturbance during a run.
type condition struct {
	name         string
	loss         float64
	zoneRestarts bool
}

func conditions() []condition {
	return []condition{{name: "at rest"}, {name: "10% loss", loss: 0.1}, {name: "a zone restarts", zoneRestarts: true}}
}

// Result sums up one protocol under one condition over all seeds.
type Result struct {
	Protocol, Condition string
	Size                int
	Median, Longest     float64 // ms until the last controller had the document, counted from its own start if it restarted
	Missing             int     // controllers without the document at the end, over all runs
	Leader, Voter       int     // bytes sent by the leader and by the busiest voter, medians over the runs
	Node, MaxNode       int     // bytes sent by an ordinary controller, mean and maximum, medians over the runs
}

// runResult is the result of one run of a protocol.
type runResult struct {
	last    float64
	missing int
	leader  int
	voter   int
	node    int
	most    int
}

// Compare runs all protocols under all conditions with the same seeds.
func Compare(o Options) (results []Result) {
	o.Nodes, o.Seeds = cmp.Or(o.Nodes, usualNodes), cmp.Or(o.Seeds, usualSeeds)
	if o.Sizes == nil {
		o.Sizes = []int{4 << 10, 64 << 10}
	}
	for _, size := range o.Sizes {
		for _, c := range conditions() {
			for _, name := range Protocols() {
				var plays []runResult
				for i := range o.Seeds {
					plays = append(plays, runOnce(name, c, o.Seed+int64(i), o.Nodes, size))
				}
				results = append(results, summarize(name, c.name, size, plays))
			}
		}
	}
	return results
}

func runOnce(name string, c condition, seed int64, nodes, size int) runResult {
	n := newNetwork(seed, nodes, voters, size, c.loss)
	w := newProtocol(name, n)
	w.start()
	if c.zoneRestarts {
		n.after(zoneRestartDelay, func() {
			for number := voters; number < nodes; number++ {
				if number%zoneInterval == 0 {
					n.stop(number, downTime, w.nodeStarted)
				}
			}
		})
	}
	n.run(runTime)
	return n.outcome()
}

func (n *network) outcome() (p runResult) {
	p.leader = n.nodes[0].sent
	sum := 0
	for number, at := range n.nodes {
		switch {
		case number < n.voters:
			p.voter = max(p.voter, at.sent)
			continue
		case !at.has:
			p.missing++
		default:
			p.last = max(p.last, at.receivedAt-at.startedAt)
		}
		sum += at.sent
		p.most = max(p.most, at.sent)
	}
	p.node = sum / (len(n.nodes) - n.voters)
	return p
}

func summarize(protocolName, condition string, size int, results []runResult) Result {
	r := Result{Protocol: protocolName, Condition: condition, Size: size}
	for _, p := range results {
		r.Longest = max(r.Longest, p.last)
		r.Missing += p.missing
	}
	r.Median = median(results, func(p runResult) float64 { return p.last })
	r.Leader = int(median(results, func(p runResult) float64 { return float64(p.leader) }))
	r.Voter = int(median(results, func(p runResult) float64 { return float64(p.voter) }))
	r.Node = int(median(results, func(p runResult) float64 { return float64(p.node) }))
	r.MaxNode = int(median(results, func(p runResult) float64 { return float64(p.most) }))
	return r
}

func median(plays []runResult, of func(runResult) float64) float64 {
	values := make([]float64, len(plays))
	for i, p := range plays {
		values[i] = of(p)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Print prints results as a table.
func Print(w io.Writer, results []Result) {
	fmt.Fprintln(w, "| bytes | condition | way | last has it, median; most, ms | missing | leader sent | most of a voter | a controller sent, mean; most |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range results {
		fmt.Fprintf(w, "| %d | %s | %s | %.0f; %.0f | %d | %d | %d | %d; %d |\n", r.Size, r.Condition, r.Protocol, r.Median, r.Longest, r.Missing, r.Leader,
			r.Voter, r.Node, r.MaxNode)
	}
}
