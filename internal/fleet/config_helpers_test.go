package fleet

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/members"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
	"mintkeel/internal/store/disk"
)

// fakeHost is a host of the fleet's configuration that records what it applied.
type fakeHost struct {
	mu       sync.Mutex
	versions []config.Version // applied, in order
	document []byte           // of the last applied version
	calls    int              // calls of Apply, including those that failed
	check    func(document []byte) error
	apply    func(v config.Version, document []byte) error
}

func (h *fakeHost) host() *configuration.Host {
	return &configuration.Host{Check: h.checkDocument, Apply: h.applyVersion}
}

func (h *fakeHost) checkDocument(document []byte) error {
	h.mu.Lock()
	check := h.check
	h.mu.Unlock()
	if check == nil {
		return nil
	}
	return check(document)
}

func (h *fakeHost) applyVersion(v config.Version, document []byte) error {
	h.mu.Lock()
	apply := h.apply
	h.calls++
	h.mu.Unlock()
	if apply != nil {
		if err := apply(v, document); err != nil {
			return err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, v)
	h.document = document
	return nil
}

func (h *fakeHost) setCheck(check func([]byte) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.check = check
}

func (h *fakeHost) setApply(apply func(config.Version, []byte) error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.apply = apply
}

// appliedNumbers returns the numbers of the applied versions, in order.
func (h *fakeHost) appliedNumbers() (list []uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, v := range h.versions {
		list = append(list, v.Number)
	}
	return list
}

// usesVersion reports whether the last applied version has this number and document; number 0 stands for
// none.
func (h *fakeHost) usesVersion(number uint64, document []byte) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.versions) == 0 {
		return number == 0
	}
	return h.versions[len(h.versions)-1].Number == number && bytes.Equal(h.document, document)
}

func (h *fakeHost) callCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls
}

// configFleet is a fleet of services on loopback addresses. The first configVoters of them are voters.
type configFleet struct {
	t           *testing.T
	dir         string
	addrs       []string
	hosts       []*fakeHost
	disks       []disk.Disk // where versions are stored; nil for the service's folder
	services    []*Service  // nil if it is not running
	changeBlock func(i int, b *Block)
	noConfig    bool // the services run without a configuration host
	log         *slog.Logger
}

const configVoters = 3

// startConfigFleet starts services; prepare may change their settings before.
func startConfigFleet(t *testing.T, count int, prepare func(*configFleet)) *configFleet {
	t.Helper()
	f := &configFleet{t: t, dir: t.TempDir(), log: discardLog, disks: make([]disk.Disk, count),
		services: make([]*Service, count)}
	for range count {
		f.addrs = append(f.addrs, reserveAddress(t))
		f.hosts = append(f.hosts, &fakeHost{})
	}
	t.Cleanup(func() {
		for i := range f.services {
			f.stop(i)
		}
	})
	if prepare != nil {
		prepare(f)
	}
	for i := range count {
		f.start(i)
	}
	return f
}

func (f *configFleet) folder(i int) string { return filepath.Join(f.dir, fmt.Sprint("n", i)) }

func (f *configFleet) configFolder(i int) string {
	return filepath.Join(f.folder(i), configuration.FolderName)
}

// start starts a service as a new process would.
func (f *configFleet) start(i int) {
	f.t.Helper()
	b := newBlock(f.t, f.dir, i, f.addrs)
	b.Voters = map[members.ID]string{}
	for j, addr := range f.addrs[:min(configVoters, len(f.addrs))] {
		b.Voters[members.ID(fmt.Sprint("n", j))] = addr
	}
	if f.changeBlock != nil {
		f.changeBlock(i, b)
	}
	manager := configuration.NewFolderManager(f.hosts[i].host(), b.Folder)
	switch {
	case f.noConfig:
		manager = nil
	case f.disks[i] != nil:
		manager = configuration.NewManager(f.hosts[i].host(), f.disks[i])
	}
	s, err := start(b, fmt.Sprint("n", i), nil, manager, f.log)
	if err != nil {
		f.t.Fatal(err)
	}
	f.services[i] = s
}

func (f *configFleet) stop(i int) {
	if f.services[i] != nil {
		f.services[i].Close()
		f.services[i] = nil
	}
}

// request sends a configuration request to the i-th controller's socket.
func (f *configFleet) request(i int, request configuration.Request) (configuration.Answer, error) {
	s, err := control.Call(context.Background(), f.folder(i), control.Request{Action: "config", Config: &request})
	if s.Config == nil {
		return configuration.Answer{}, err
	}
	return *s.Config, err
}

// put commits a document as the next version through the i-th controller.
func (f *configFleet) put(i int, document []byte) config.Version {
	f.t.Helper()
	var answer configuration.Answer
	var err error
	f.eventually("put is answered", func() bool { // it fails while the quorum has no leader
		answer, err = f.request(i, configuration.Request{Action: configuration.ActionPut, Document: document,
			Author: "a", Reason: "r"})
		return err == nil
	})
	if answer.Result != configuration.ResultAgreed || answer.Version == nil ||
		answer.Version.Hash != config.HashOf(document) {
		f.t.Fatalf("put: got %+v, want the document agreed on", answer)
	}
	return *answer.Version
}

// awaitInForce waits until a version is in force at these controllers.
func (f *configFleet) awaitInForce(v config.Version, document []byte, which ...int) {
	f.t.Helper()
	for _, i := range which {
		f.eventually(fmt.Sprintf("version %d is in force at n%d", v.Number, i), func() bool {
			return f.hosts[i].usesVersion(v.Number, document)
		})
	}
}

// awaitStatus waits until the status that the i-th controller answers meets a condition.
func (f *configFleet) awaitStatus(i int, description string, condition func(*config.Status) bool) {
	f.t.Helper()
	var last *config.Status
	defer func() {
		if f.t.Failed() {
			f.t.Logf("last status: %+v", last)
		}
	}()
	f.eventually(description, func() bool {
		answer, err := f.request(i, configuration.Request{Action: configuration.ActionStatus})
		if err != nil || answer.Status == nil {
			return false
		}
		last = answer.Status
		return condition(last)
	})
}

func (f *configFleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for: %s", description)
		}
	}
}

// checkVersionsNeverDecrease checks that no host applied an older version after a newer one.
func (f *configFleet) checkVersionsNeverDecrease() {
	f.t.Helper()
	for i, h := range f.hosts {
		if numbers := h.appliedNumbers(); !slices.IsSorted(numbers) {
			f.t.Errorf("n%d applied versions %v, want no number lower than one before", i, numbers)
		}
	}
}

// allMembersAlive reports whether every controller sees all members alive and knows a leader.
func (f *configFleet) allMembersAlive() bool {
	for i := range f.services {
		s, err := control.Call(context.Background(), f.folder(i), control.Request{Action: "status"})
		if err != nil || s.Quorum.Leader == "" || len(s.Members) != len(f.services) {
			return false
		}
		for _, m := range s.Members {
			if m.State != members.Alive.String() {
				return false
			}
		}
	}
	return true
}

// logIdleCost measures for 30 s, in verbose runs only, what all services send and compute.
func (f *configFleet) logIdleCost(label string, cost idleCost) {
	if !testing.Verbose() {
		return
	}
	bytesBefore, processorBefore, began := f.bytesSent(), cpuTime(f.t), time.Now()
	time.Sleep(30 * time.Second)
	seconds := time.Since(began).Seconds()
	f.t.Logf("%s: %+v, all services together: %.0f bytes sent and %.2f ms of CPU time per second", label, cost,
		float64(f.bytesSent()-bytesBefore)/seconds,
		float64((cpuTime(f.t)-processorBefore).Microseconds())/1000/seconds)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// bytesSent returns the number of bytes that all services have sent.
func (f *configFleet) bytesSent() (n int64) {
	for i := range f.services {
		n += f.linkCount(i, "bytes_out")
	}
	return n
}

// linkCount returns a count of the i-th controller's links by its name in the log.
func (f *configFleet) linkCount(i int, name string) int64 {
	f.t.Helper()
	for _, a := range f.services[i].links.LogValue().Group() {
		if a.Key == name {
			return a.Value.Int64()
		}
	}
	f.t.Fatalf("the links have no count named %s", name)
	return 0
}

// leaderSeenBy returns the number of the controller that the i-th one sees as the leader.
func (f *configFleet) leaderSeenBy(i int) int {
	f.t.Helper()
	status, err := control.Call(f.t.Context(), f.folder(i), control.Request{Action: "status"})
	if err != nil {
		f.t.Fatal(err)
	}
	for j := range f.services {
		if status.Quorum.Leader == fmt.Sprint("n", j) {
			return j
		}
	}
	f.t.Fatalf("the leader is %q, want a controller of the fleet", status.Quorum.Leader)
	return 0
}

// logBuffer keeps log lines in memory for a test to read.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends a line.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}
