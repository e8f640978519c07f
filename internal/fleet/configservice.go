package fleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/core/fleet/node"
	"mintkeel/internal/store/disk"
)

const (
	keptTries        = 5                      // to apply the version that the folder holds
	keptRetry        = 200 * time.Millisecond // between two of them
	applyGrace       = 2 * time.Second        // that Close waits for a call of ConfigHost.Apply
	storeGrace       = time.Second            // that a session's end waits for a write
	readinessPoll    = 20 * time.Millisecond
	maxConfigWaiters = 32
	maxProblemBytes  = 16 << 10 // that are told of a document that can't be used
)

var (
	errOlder     = errors.New("a later version is in force")
	errOther     = errors.New("another document of this number is in force")
	errRestarted = errors.New("this controller's part in the fleet ended meanwhile")
)

// configuration is the service's part in the fleet's configuration. It outlives sessions.
type configuration struct {
	host     *ConfigHost
	disk     disk.Disk
	checking sync.Mutex                     // one call of host.Check at a time
	applying chan struct{}                  // holds one while host.Apply is called
	applied  atomic.Pointer[appliedVersion] // what host.Apply took last; nil: nothing yet
	local    atomic.Pointer[config.Readiness]
	counts   atomic.Pointer[config.Counters]
	ref      atomic.Uint64 // of the last request to the replica

	stored, storeFailed, damaged atomic.Int64
}

// appliedVersion is what the host has in use.
type appliedVersion struct {
	generation uint64
	version    config.Version
	document   []byte
}

func newConfiguration(host *ConfigHost, d disk.Disk) *configuration {
	return &configuration{host: host, disk: d, applying: make(chan struct{}, 1)}
}

// newFolderConfiguration stores versions in the fleet's folder; nil where there is no host.
func newFolderConfiguration(host *ConfigHost, folder string) *configuration {
	if host == nil {
		return nil
	}
	return newConfiguration(host, disk.Folder(filepath.Join(folder, configFolderName)))
}

// check tells whether a document could be used here. A parser that panics ends no more than the check.
func (c *configuration) check(document []byte) (err error) {
	c.checking.Lock()
	defer c.checking.Unlock()
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("the check failed: %v", x)
		}
	}()
	return c.host.Check(document)
}

// problemsOf is what is told of a document that can't be used, within a bound.
func problemsOf(err error) string {
	text := err.Error()
	return text[:min(len(text), maxProblemBytes)]
}

// apply has the host take a version into use, unless a later one is. One call is made at a time.
func (c *configuration) apply(ctx context.Context, next appliedVersion) (err error) {
	if !c.reserveApply(ctx) {
		return context.Cause(ctx)
	}
	defer c.releaseApply()
	if inForce := c.applied.Load(); inForce != nil && inForce.generation == next.generation {
		switch {
		case next.version.Number < inForce.version.Number:
			return errOlder
		case next.version.Number == inForce.version.Number && next.version.Hash != inForce.version.Hash:
			return errOther
		case next.version.Number == inForce.version.Number:
			return nil
		}
	}
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("taking it into use failed: %v", x)
		}
	}()
	if err := c.host.Apply(next.version, next.document); err != nil {
		return err
	}
	c.applied.Store(&next)
	return nil
}

// reserveApply waits until no call of the host's Apply is under way.
func (c *configuration) reserveApply(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case c.applying <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *configuration) releaseApply() { <-c.applying }

// close waits for a call of the host's Apply, for a bounded time, as it may wait for whoever closes the service. No call
// is made after it.
func (c *configuration) close() {
	ctx, cancel := context.WithTimeout(context.Background(), applyGrace)
	defer cancel()
	c.reserveApply(ctx)
}

func (c *configuration) readiness() config.Readiness {
	if local := c.local.Load(); local != nil {
		return *local
	}
	return config.Readiness{}
}

// logValue prints the counts.
func (c *configuration) logValue() slog.Value {
	local, counts := c.readiness(), config.Counters{}
	if last := c.counts.Load(); last != nil {
		counts = *last
	}
	return slog.GroupValue(
		slog.Uint64("in_force", local.Number),
		slog.Uint64("latest", local.Latest),
		slog.Bool("confirmed", local.Confirmed),
		slog.Int64("applied", counts.Applied),
		slog.Int64("refused", counts.Rejected),
		slog.Int64("conflicts", counts.Conflicts),
		slog.Int64("corrupt", counts.Corrupt),
		slog.Int64("fetched_bytes", counts.FetchedBytes),
		slog.Int64("served_bytes", counts.ServedBytes),
		slog.Int64("pushed", counts.Pushed),
		slog.Int64("stored", c.stored.Load()),
		slog.Int64("store_failed", c.storeFailed.Load()),
		slog.Int64("files_damaged", c.damaged.Load()),
	)
}

// ConfigLocal tells which version is in force here, and whether it is known to be the latest.
func (s *Service) ConfigLocal() config.Readiness {
	if s.config == nil {
		return config.Readiness{}
	}
	return s.config.readiness()
}

// WaitConfig waits until the latest version is known to be in force here, or the context ends, and tells which is. It
// returns at once where the fleet has no say in this controller's configuration.
func (s *Service) WaitConfig(ctx context.Context) config.Readiness {
	if s.config == nil {
		return config.Readiness{}
	}
	ticker := time.NewTicker(readinessPoll)
	defer ticker.Stop()
	for {
		if local := s.config.readiness(); local.Confirmed {
			return local
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.config.readiness()
		case <-s.done:
			return s.config.readiness()
		}
	}
}

// sessionConfig is a session's part in the fleet's configuration. Its zero value is that of one that has none.
type sessionConfig struct {
	folder  *configFolder
	checked chan configCheck // answers the CheckRequest that is out
	stored  chan error       // answers the StoreRequest that is out
	applied chan error       // answers the ApplyRequest that is out
	storing bool
	refused config.Version          // that the log was told of
	waiters map[uint64]configWaiter // by the request's ref
}

// configCheck is how the check of a document ended.
type configCheck struct {
	hash config.Hash
	err  error
}

// configWaiter is who waits for an answer of the replica.
type configWaiter struct {
	reply chan configReply // has room for the one reply
	until float64
}

// configReply is the replica's answer to a request; one of its fields is set.
type configReply struct {
	outcome  *config.ProposalResult
	answer   *config.QueryResult
	document *config.DocumentResult
	err      error
}

// openConfig reads the folder and has the version that is to be in force at a start applied. It returns nil facts where
// the fleet has no say in this controller's configuration.
func (in *session) openConfig() (*node.FleetConfig, error) {
	c := in.Service.config
	if c == nil {
		return nil, nil
	}
	contents, err := in.openConfigFolder()
	if err != nil {
		return nil, fmt.Errorf("folder of configuration: %w", err)
	}
	c.damaged.Add(int64(contents.damaged))
	if contents.damaged > 0 {
		in.Service.log.Error("fleet: stored configuration was damaged, and is dropped", "files", contents.damaged)
	}
	in.config.checked = make(chan configCheck, 1)
	in.config.stored, in.config.applied = make(chan error, 1), make(chan error, 1)
	in.config.waiters = map[uint64]configWaiter{}
	in.applyKept(contents)
	kept, err := in.keptConfig(contents)
	if err != nil {
		return nil, fmt.Errorf("folder of configuration: %w", err)
	}
	c.local.Store(&config.Readiness{Number: kept.Current.Number, Latest: kept.Current.Number})
	return &node.FleetConfig{Stored: kept}, nil
}

// openConfigFolder opens the folder, unless the service ends first: a disk that hangs is left to the system.
func (in *session) openConfigFolder() (configContents, error) {
	type opened struct {
		folder   *configFolder
		contents configContents
		err      error
	}
	result := make(chan opened, 1)
	go func() {
		var o opened
		if o.folder, o.contents, o.err = openConfigFolder(in.Service.config.disk, in.block.Generation); o.err == nil {
			o.err = disk.Folder(in.block.Folder).Sync() // the folder itself is to last
		}
		result <- o
	}()
	select {
	case o := <-result:
		in.config.folder = o.folder
		return o.contents, o.err
	case <-in.ctx.Done():
		go func() {
			if o := <-result; o.folder != nil {
				o.folder.close()
			}
		}()
		return configContents{}, errEnded
	}
}

// applyKept applies the version that the folder holds. Where that fails what is in force stays: the replica takes the
// version again, or refuses it, once it has heard of it.
func (in *session) applyKept(contents configContents) {
	if contents.record == nil {
		return
	}
	record := *contents.record
	next := appliedVersion{generation: record.Generation, version: record.Version, document: contents.document}
	for try := 1; ; try++ {
		result := make(chan error, 1)
		go func() { result <- in.Service.config.apply(in.ctx, next) }()
		var err error
		select {
		case err = <-result:
		case <-in.ctx.Done():
			return
		}
		switch {
		case err == nil || errors.Is(err, errOlder):
			return
		case !errors.Is(err, ErrRetryable) || try == keptTries:
			in.Service.log.Error("fleet: the stored version of the configuration can't be used", "version", record.Version.Number,
				"generation", record.Generation, "why", problemsOf(err))
			return
		}
		select {
		case <-time.After(keptRetry):
		case <-in.ctx.Done():
			return
		}
	}
}

// keptConfig is what the replica begins with: what is in force here, which an earlier session may have applied after its
// folder failed. Versions of another generation do not count.
func (in *session) keptConfig(contents configContents) (config.StoredState, error) {
	kept := config.StoredState{Documents: contents.documents}
	inForce := in.Service.config.applied.Load()
	if inForce == nil || inForce.generation != in.block.Generation {
		return kept, nil
	}
	v := inForce.version
	kept.Current = v
	request := config.StoreRequest{Hash: v.Hash}
	if kept.Documents[v.Hash] == nil {
		request.Document = inForce.document
		kept.Documents[v.Hash] = inForce.document
	}
	if !contents.record.atLeast(in.block.Generation, v) {
		request.Current = &v
	}
	if request.Document == nil && request.Current == nil {
		return kept, nil
	}
	in.storeConfig(&request)
	select {
	case err := <-in.config.stored:
		in.config.storing = false
		return kept, err
	case <-in.ctx.Done():
		return kept, errEnded
	}
}

// closeConfig ends what operators wait for, and lets the folder go once the last write is over. It waits for a write, but
// not for a disk that hangs: then the folder stays locked by this process.
func (in *session) closeConfig() {
	if c := in.Service.config; c != nil { // what is in force stays; whether it is the latest is not known any more
		local := c.readiness()
		local.Confirmed = false
		c.local.Store(&local)
	}
	for ref := range in.config.waiters {
		in.replyConfig(ref, configReply{err: errRestarted})
	}
	folder := in.config.folder
	switch {
	case folder == nil:
	case in.config.storing:
		written := make(chan struct{})
		go func() {
			<-in.config.stored
			folder.close()
			close(written)
		}()
		select {
		case <-written:
		case <-time.After(storeGrace):
		}
	default:
		folder.close()
	}
}

// carryOutConfig does what the replica asks for.
func (in *session) carryOutConfig(out config.Output) {
	if out.Check != nil {
		in.checkConfig(out.Check)
	}
	if out.Store != nil {
		in.storeConfig(out.Store)
	}
	if out.Apply != nil {
		in.applyConfig(out.Apply)
	}
	for _, o := range out.ProposalResults {
		in.replyConfig(o.Ref, configReply{outcome: &o})
	}
	for _, a := range out.QueryResults {
		in.replyConfig(a.Ref, configReply{answer: &a})
	}
	for _, d := range out.DocumentResults {
		in.replyConfig(d.Ref, configReply{document: &d})
	}
}

// checkConfig checks a document that this controller is to take, or to have agreed on, beside the core, which has one
// CheckRequest out at a time.
func (in *session) checkConfig(request *config.CheckRequest) {
	go func() { in.config.checked <- configCheck{request.Hash, in.Service.config.check(request.Document)} }()
}

// storeConfig writes beside the core, which has one StoreRequest out at a time.
func (in *session) storeConfig(request *config.StoreRequest) {
	in.config.storing = true
	go func() { in.config.stored <- in.config.folder.store(request) }()
}

// applyConfig applies beside the core, which has one ApplyRequest out at a time.
func (in *session) applyConfig(request *config.ApplyRequest) {
	next := appliedVersion{generation: in.block.Generation, version: request.Version, document: request.Document}
	go func() { in.config.applied <- in.Service.config.apply(in.ctx, next) }()
}

// configChecked takes in the answer to a CheckRequest.
func (in *session) configChecked(c configCheck) {
	if c.err != nil {
		in.Service.log.Warn("fleet: a document of the configuration can't be used here", "hash", c.hash.String(), "why", problemsOf(c.err))
	}
	in.core.WithConfig(in.now(), func(r *config.Replica) { r.Checked(in.now(), c.hash, c.err) })
}

// configStored takes in the answer to a StoreRequest.
func (in *session) configStored(err error) {
	in.config.storing = false
	if err != nil {
		in.Service.config.storeFailed.Add(1)
		in.Service.log.Warn("fleet: configuration is not stored", "why", err)
	} else {
		in.Service.config.stored.Add(1)
	}
	in.core.WithConfig(in.now(), func(r *config.Replica) { r.Stored(in.now(), err) })
}

// configApplied takes in the answer to an ApplyRequest.
func (in *session) configApplied(err error) {
	retryable := errors.Is(err, ErrRetryable)
	if err != nil {
		in.Service.log.Warn("fleet: a version of the configuration is not in force here", "tried_again", retryable, "why", problemsOf(err))
	}
	in.core.WithConfig(in.now(), func(r *config.Replica) { r.Applied(in.now(), err, retryable) })
	in.observeConfig()
}

// observeConfig notes what reports tell of the replica, and ends waits that took too long.
func (in *session) observeConfig() {
	c := in.Service.config
	if c == nil {
		return
	}
	in.core.WithConfig(in.now(), func(r *config.Replica) {
		local, counts := r.Readiness(), r.Counters()
		c.local.Store(&local)
		c.counts.Store(&counts)
		in.logRefused(r)
	})
	for ref, w := range in.config.waiters {
		if in.now() >= w.until {
			in.replyConfig(ref, configReply{err: errUnanswered})
		}
	}
}

// logRefused tells of a version that can't be used here, once.
func (in *session) logRefused(r *config.Replica) {
	v, reason := r.Rejected()
	if v.Number == in.config.refused.Number && v.Hash == in.config.refused.Hash {
		return
	}
	in.config.refused = v
	in.Service.log.Error("configuration version refused", "version", v.Number, "hash", v.Hash.String()[:12], "author", v.Author,
		"reason", v.Reason, "why", reason)
}

// replyConfig hands an answer to who waits for it.
func (in *session) replyConfig(ref uint64, reply configReply) {
	if w, ok := in.config.waiters[ref]; ok {
		delete(in.config.waiters, ref)
		w.reply <- reply
	}
}
