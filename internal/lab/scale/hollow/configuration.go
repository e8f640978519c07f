package hollow

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/lab/scale/slope"
)

// host stands in for the daemon that uses the fleet's configuration. It accepts and applies every version at once.
type host struct {
	mu      sync.Mutex
	applied []Applied
}

// Applied is a version of the configuration that a controller has applied.
type Applied struct {
	Number uint64    `json:"number"`
	Bytes  int       `json:"bytes"`
	At     time.Time `json:"at"`
}

const maxApplied = 1000

func (h *host) apply(v config.Version, document []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.applied) < maxApplied {
		h.applied = append(h.applied, Applied{v.Number, len(document), time.Now()})
	}
	return nil
}

func (h *host) list() []Applied {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.applied)
}

func (h *host) host() *configuration.Host {
	return &configuration.Host{Check: func([]byte) error { return nil }, Apply: h.apply}
}

// Put proposes a document at a controller of this share, and returns the number of the version that was agreed on.
func (s *Share) Put(number int, document []byte) (uint64, error) {
	s.mu.Lock()
	c := s.controllers[number]
	s.mu.Unlock()
	if c == nil {
		return 0, fmt.Errorf("n%d does not run here", number)
	}
	order := configuration.Request{Action: configuration.ActionPut, Document: document, Author: "rig", Reason: "measurement"}
	status, err := c.service.Handle(control.Request{Action: "config", Config: &order})
	switch {
	case err != nil:
		return 0, err
	case status.Config == nil || status.Config.Version == nil:
		return 0, errors.New("the reply to the put has no version")
	case status.Config.Result != "agreed":
		return 0, fmt.Errorf("the document was not agreed on: %s, %s", status.Config.Result, status.Config.Reason)
	}
	return status.Config.Version.Number, nil
}

// Put proposes a document at a controller, and returns the number of the version that was agreed on.
func (f *Fleet) Put(number int, document []byte) (version uint64, err error) {
	replies, err := f.callAll(requestTimeout, func(p *process) *request {
		if !slices.Contains(p.numbers, number) {
			return nil
		}
		return &request{Action: actionPut, Numbers: []int{number}, Document: document}
	})
	for _, r := range replies {
		version = max(version, r.Version)
	}
	return version, err
}

// AwaitInForce waits until all running controllers have a version or a later one in force, and returns when the last one had.
func (f *Fleet) AwaitInForce(ctx context.Context, timeout time.Duration, version uint64) (last time.Time, err error) {
	return f.awaitInForceAt(ctx, timeout, version, nil)
}

// awaitInForceAt is AwaitInForce for some controllers; nil: all that run.
func (f *Fleet) awaitInForceAt(ctx context.Context, timeout time.Duration, version uint64, at []int) (last time.Time, err error) {
	return f.awaitLast(ctx, timeout, fmt.Sprintf("version %d is in force at all controllers", version), at, func(v View) time.Time {
		i := slices.IndexFunc(v.Applied, func(a Applied) bool { return a.Number >= version })
		if i < 0 {
			return time.Time{}
		}
		return v.Applied[i].At
	})
}

// documentSizes are the sizes in bytes of the documents that are put.
var documentSizes = []int{4 << 10, 64 << 10}

// putDocuments puts documents of each size in a running fleet, one after another, and records the median and the longest
// time until the last controller had one in force.
func (m *measurement) putDocuments(ctx context.Context, f *Fleet, size int) error {
	rng := rand.New(rand.NewSource(m.Seed + int64(size)))
	for _, bytes := range documentSizes {
		var took []time.Duration
		for range m.puts {
			document := make([]byte, bytes)
			rng.Read(document)
			if err := m.timePut(ctx, f, size, rng.Intn(size), document, &took); err != nil {
				return err
			}
		}
		if len(took) == 0 {
			continue
		}
		slices.SortFunc(took, func(a, b time.Duration) int { return cmp.Compare(a, b) })
		median, longest := took[len(took)/2], took[len(took)-1]
		m.record(size, putFigureName(bytes, "median"), milliseconds(median))
		m.record(size, putFigureName(bytes, "longest"), milliseconds(longest))
		m.Logf("%d controllers: a document of %d bytes was in force at the last controller after a median of %v, at most %v, in %d puts", size, bytes,
			median.Round(time.Millisecond), longest.Round(time.Millisecond), len(took))
	}
	return nil
}

func putFigureName(bytes int, which string) string { return fmt.Sprintf("put/%d/%s", bytes, which) }

// timePut puts a document at a controller and appends the time until the last controller had it in force. It appends nothing
// if that timed out.
func (m *measurement) timePut(ctx context.Context, f *Fleet, size, number int, document []byte, took *[]time.Duration) error {
	began := time.Now()
	version, err := f.Put(number, document)
	if err != nil {
		return err
	}
	last, err := f.AwaitInForce(ctx, knownTimeout, version)
	if err != nil && m.recordTimeout(size, err) {
		return nil
	}
	if err != nil {
		return err
	}
	*took = append(*took, last.Sub(began))
	return nil
}

// putRows returns the rows of putDocuments, without their points.
func putRows() (rows []sizeRow) {
	for _, bytes := range documentSizes {
		for _, which := range []string{"median", "longest"} {
			rows = append(rows, sizeRow{putFigureName(bytes, which), slope.Row{Role: "fleet",
				Cost: "configuration: from put to in force at the last, " + which, Unit: "ms", Log: true, Budget: budgetInForce,
				Condition: fmt.Sprintf("at rest, documents of %d KB", bytes>>10), Note: "few puts at each size"}})
		}
	}
	return rows
}
