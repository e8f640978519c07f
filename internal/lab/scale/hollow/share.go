package hollow

import (
	"errors"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mintkeel/internal/core/fleet/members"
)

// Share holds the controllers of a fleet that run in this process.
type Share struct {
	spec   Spec
	folder string
	peers  []flowCounter // by acceptor

	mu          sync.Mutex
	controllers map[int]*controller
	stopped     map[int]Flow // traffic of the controllers that were stopped, by number
	partitions  partitions

	end   chan struct{}
	group sync.WaitGroup
}

// NewShare returns a share without controllers. The folder holds the fleet's key and the files of its controllers.
func NewShare(s Spec, folder string) (*Share, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	share := &Share{spec: s, folder: folder, peers: make([]flowCounter, s.Controllers), controllers: map[int]*controller{},
		stopped: map[int]Flow{}, end: make(chan struct{})}
	share.group.Go(share.samplePeaks)
	return share, nil
}

// WriteKey writes the fleet's key file, which must exist before the first controller starts.
func WriteKey(folder string) error {
	const keyDigits = 64
	return os.WriteFile(folder+"/"+keyFile, []byte(strings.Repeat("5a", keyDigits/2)+"\n"), 0o600)
}

// Start starts controllers at the same time. They record when they know the expected number of members to be alive.
func (s *Share) Start(numbers []int, expect int) error {
	errs := make([]error, len(numbers))
	var group sync.WaitGroup
	for i, number := range numbers {
		group.Go(func() {
			c, err := start(s.spec, s.folder, number, expect, s.peers, &s.partitions)
			if errs[i] = err; err == nil {
				s.mu.Lock()
				s.controllers[number] = c
				s.mu.Unlock()
			}
		})
	}
	group.Wait()
	return errors.Join(errs...)
}

// Stop stops controllers without a message to the others, as a crash would.
func (s *Share) Stop(numbers []int) {
	var group sync.WaitGroup
	for _, number := range numbers {
		s.mu.Lock()
		c := s.controllers[number]
		delete(s.controllers, number)
		if c != nil {
			s.stopped[number] = s.stopped[number].Plus(c.dialer.own.load())
		}
		s.mu.Unlock()
		if c != nil {
			group.Go(c.service.Close)
		}
	}
	group.Wait()
}

// Leave stops controllers after they have released their leases and announced that they leave, as a planned restart does.
func (s *Share) Leave(numbers []int) {
	const announceTime = 300 * time.Millisecond // until the message has been sent
	s.mu.Lock()
	for _, number := range numbers {
		if c := s.controllers[number]; c != nil {
			c.service.Stop()
		}
	}
	s.mu.Unlock()
	time.Sleep(announceTime)
	s.Stop(numbers)
}

// Close stops all controllers.
func (s *Share) Close() {
	close(s.end)
	s.group.Wait()
	s.Stop(s.numbers())
}

func (s *Share) numbers() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.controllers))
}

// running returns the controllers, sorted by number.
func (s *Share) running() []*controller {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*controller, 0, len(s.controllers))
	for _, number := range slices.Sorted(maps.Keys(s.controllers)) {
		list = append(list, s.controllers[number])
	}
	return list
}

// AwaitMembers makes all controllers record when they know the expected number of members to be alive.
func (s *Share) AwaitMembers(expect int) {
	for _, c := range s.running() {
		c.probe.awaitMembers(expect)
	}
}

// AwaitRestarts makes all controllers record when they know the expected number of members to be alive, the given ones in a
// later run than now.
func (s *Share) AwaitRestarts(expect int, of []int) {
	ids := make([]members.ID, len(of))
	for i, number := range of {
		ids[i] = name(number)
	}
	for _, c := range s.running() {
		c.probe.awaitRestarts(expect, ids)
	}
}

// AwaitLoss makes all controllers record when they know that one controller is gone.
func (s *Share) AwaitLoss(number int) {
	for _, c := range s.running() {
		c.probe.awaitLoss(name(number))
	}
}

// Views returns what the controllers have seen.
func (s *Share) Views() []View {
	var views []View
	for _, c := range s.running() {
		view := c.probe.view(c.number)
		view.Applied = c.host.list()
		views = append(views, view)
	}
	return views
}

// QuorumViews returns the state of the quorum as seen by the voters of this share. It leaves out voters that do not answer
// yet.
func (s *Share) QuorumViews() []QuorumView {
	var list []QuorumView
	for _, c := range s.running() {
		if c.number < s.spec.Voters {
			if standing, err := c.quorumView(); err == nil {
				list = append(list, standing)
			}
		}
	}
	return list
}

// samplePeaks polls the number of connections in at voters and keeps the maximum. It polls often, because the start of a
// fleet is over within seconds.
func (s *Share) samplePeaks() {
	const interval = 50 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.end:
			return
		case <-ticker.C:
		}
		for _, c := range s.running() {
			if c.number < s.spec.Voters {
				c.peak.Store(max(c.peak.Load(), c.counters()["links.incoming"]))
			}
		}
	}
}

// Usage is the traffic of one controller since its start, its connections and its error counts.
type Usage struct {
	Number       int    `json:"number"`
	Sent         Flow   `json:"sent"` // over connections that it opened, including those of earlier runs
	Out          int64  `json:"out"`  // connections open
	In           int64  `json:"in"`
	PeakIn       int64  `json:"peak_in"` // at a voter: the maximum since its start
	Refused      int64  `json:"refused"` // connections refused at the bound
	Dropped      int64  `json:"dropped"` // messages that were not sent
	Full         int64  `json:"full"`    // messages that found the inbox full
	Restarts     int64  `json:"restarts"`
	Errors       int64  `json:"errors"`
	FirstProblem string `json:"first_problem,omitempty"`
}

// Process is the resource usage of a process. Processor time and wake-ups are read before and after the rest of the sample,
// so that the difference of two samples excludes the cost of sampling.
type Process struct {
	Processor      float64 `json:"processor"` // seconds
	ProcessorAfter float64 `json:"processor_after"`
	WakeUps        int64   `json:"wake_ups"` // voluntary context switches of its threads
	WakeUpsAfter   int64   `json:"wake_ups_after"`
	Resident       float64 `json:"resident"` // bytes
	Private        float64 `json:"private"`  // resident bytes that are not shared with files
	Heap           float64 `json:"heap"`     // bytes in use by objects and stacks, after a collection
	Descriptors    int     `json:"descriptors"`
	Goroutines     int     `json:"goroutines"`
}

// Sample is the state of a share at a time.
type Sample struct {
	At          time.Time    `json:"at"`
	Process     Process      `json:"process"`
	Controllers []Usage      `json:"controllers"`
	Received    map[int]Flow `json:"received"` // by acceptor: over connections that controllers of this share opened
}

// Sample takes a sample.
func (s *Share) Sample() (Sample, error) {
	process, err := readProcess()
	if err != nil {
		return Sample{}, err
	}
	sample := Sample{At: time.Now(), Process: process, Received: map[int]Flow{}}
	for _, c := range s.running() {
		counters := c.counters()
		s.mu.Lock()
		sent := c.dialer.own.load().Plus(s.stopped[c.number])
		s.mu.Unlock()
		usage := Usage{Number: c.number, Sent: sent, Out: c.dialer.open.Load(), In: counters["links.incoming"], PeakIn: c.peak.Load(),
			Refused: counters["links.refused"], Dropped: counters["links.dropped"], Full: counters["full"],
			Restarts: counters["begun_anew"], Errors: c.errors.count.Load()}
		if first := c.errors.first.Load(); first != nil {
			usage.FirstProblem = *first
		}
		sample.Controllers = append(sample.Controllers, usage)
	}
	for number := range s.peers {
		if flow := s.peers[number].load(); flow != (Flow{}) {
			sample.Received[number] = flow
		}
	}
	return sample, nil
}

// readProcess returns the resource usage of this process.
func readProcess() (Process, error) {
	var p Process
	var err error
	if p.Processor, p.WakeUps, err = processorUsage(); err != nil {
		return p, err
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	p.Heap = float64(memory.HeapInuse + memory.StackInuse)
	p.Goroutines = runtime.NumGoroutine()
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return p, err
	}
	pages := strings.Fields(string(statm)) // total, resident, shared, ...
	resident, _ := strconv.ParseFloat(pages[1], 64)
	shared, _ := strconv.ParseFloat(pages[2], 64)
	p.Resident, p.Private = resident*float64(os.Getpagesize()), (resident-shared)*float64(os.Getpagesize())
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return p, err
	}
	p.Descriptors = len(descriptors)
	p.ProcessorAfter, p.WakeUpsAfter, err = processorUsage()
	return p, err
}

// processorUsage returns the processor time of this process in seconds and its voluntary context switches.
func processorUsage() (processor float64, wakeUps int64, err error) {
	var usage syscall.Rusage
	err = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds(), usage.Nvcsw, err
}
