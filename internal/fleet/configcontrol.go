package fleet

import (
	"cmp"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"mintkeel/internal/core/fleet/config"
)

// Results of ConfigPut and ConfigRollback, as a ConfigAnswer names them.
const (
	ConfigAgreed  = "agreed"
	ConfigLost    = "lost"    // another version was agreed on first
	ConfigRefused = "refused" // the document can't be used, or a bound is passed
	ConfigUnknown = "unknown" // it may be agreed on, or not
)

// How long requests to the replica take at most: a little longer than it waits itself.
const (
	configQueryTime   = 6 * time.Second
	configLookupTime  = 11 * time.Second
	configProposeTime = 16 * time.Second
)

// configRequestBytes bounds a request with a document of config.MaxDocument bytes, in base64.
const configRequestBytes = 2 << 20

var (
	errNoConfig   = errors.New("there is no block config in this controller's file")
	errUnanswered = errors.New("no answer in time")
	errTooMany    = errors.New("too many requests at once")
	errNoLeader   = errors.New("the leader of the quorum does not answer")
)

// longest is how long an order takes at most.
func (o *ConfigOrder) longest() time.Duration {
	switch o.Action {
	case ConfigPut:
		return configQueryTime + configProposeTime
	case ConfigRollback:
		return configQueryTime + configLookupTime + configProposeTime
	case ConfigShow:
		return configQueryTime + configLookupTime
	default:
		return configQueryTime
	}
}

// askConfig does what an operator asks of the fleet's configuration. It is called by the connection's goroutine, which
// waits here; the session's never does.
func (s *Service) askConfig(o *ConfigOrder) (Status, error) {
	if s.config == nil {
		return Status{}, errNoConfig
	}
	if o == nil {
		return Status{}, errors.New("nothing is asked for")
	}
	var answer ConfigAnswer
	var err error
	switch o.Action {
	case ConfigPut:
		answer, err = s.putConfig(o)
	case ConfigState:
		answer, err = s.configStatus()
	case ConfigHistory:
		answer, err = s.configHistory()
	case ConfigShow:
		answer, err = s.showConfig(o.Number)
	case ConfigRollback:
		answer, err = s.rollbackConfig(o)
	default:
		err = fmt.Errorf("%.64q is not known", o.Action)
	}
	answer.Local = s.config.readiness()
	return Status{Config: &answer}, err
}

// putConfig has a document agreed on as the next version, once it is checked here.
func (s *Service) putConfig(o *ConfigOrder) (ConfigAnswer, error) {
	if reason := s.unusable(o.Document); reason != "" {
		return ConfigAnswer{Result: ConfigRefused, Reason: reason}, nil
	}
	if o.Expect != nil {
		return s.proposeConfig(o, o.Document, *o.Expect, 0)
	}
	history, err := s.configHistory()
	if err != nil {
		return history, fmt.Errorf("nothing was proposed: %w", err)
	}
	return s.proposeConfig(o, o.Document, newest(history.Versions), 0)
}

// rollbackConfig has an earlier document agreed on as the next version.
func (s *Service) rollbackConfig(o *ConfigOrder) (ConfigAnswer, error) {
	history, err := s.configHistory()
	if err != nil {
		return history, fmt.Errorf("nothing was proposed: %w", err)
	}
	shown, err := s.fetchVersion(history, o.Number)
	if err != nil {
		return ConfigAnswer{}, fmt.Errorf("nothing was proposed: %w", err)
	}
	if reason := s.unusable(shown.Document); reason != "" {
		return ConfigAnswer{Result: ConfigRefused, Reason: reason}, nil
	}
	expect := newest(history.Versions)
	if o.Expect != nil {
		expect = *o.Expect
	}
	return s.proposeConfig(o, shown.Document, expect, o.Number)
}

// unusable tells why a document is not proposed; empty: it may be.
func (s *Service) unusable(document []byte) string {
	switch {
	case len(document) == 0:
		return "the document is empty"
	case len(document) > config.MaxDocument:
		return tooBig(len(document))
	}
	if err := s.config.check(document); err != nil {
		return problemsOf(err)
	}
	return ""
}

func tooBig(bytes int) string {
	return fmt.Sprintf("the document has %d bytes: %d are possible", bytes, config.MaxDocument)
}

// proposeConfig has a document that was checked agreed on, if the newest version is still the one expected.
func (s *Service) proposeConfig(o *ConfigOrder, document []byte, expect, rollbackOf uint64) (ConfigAnswer, error) {
	v := config.Version{Author: o.Author, Reason: o.Reason, Time: time.Now().UnixMilli(), RollbackOf: rollbackOf}
	reply, err := s.requestConfig(configProposeTime, func(now float64, ref uint64, r *config.Replica) {
		r.Propose(now, ref, document, expect, v)
	})
	if errors.Is(err, errBusy) || errors.Is(err, errTooMany) {
		return ConfigAnswer{}, fmt.Errorf("nothing was proposed: %w", err)
	}
	if err != nil {
		return ConfigAnswer{Result: ConfigUnknown, Reason: err.Error()}, nil
	}
	return ConfigAnswer{Result: resultName(reply.outcome.Result), Reason: reply.outcome.Reason, Version: &reply.outcome.Version}, nil
}

func resultName(r config.Result) string {
	switch r {
	case config.Committed:
		return ConfigAgreed
	case config.Conflict:
		return ConfigLost
	case config.Rejected:
		return ConfigRefused
	default:
		return ConfigUnknown
	}
}

// configStatus asks the leader where versions are in force.
func (s *Service) configStatus() (ConfigAnswer, error) {
	reply, err := s.queryConfig(config.QueryStatus)
	if err != nil {
		return ConfigAnswer{}, err
	}
	return ConfigAnswer{Status: reply.Answer.Status, From: string(reply.From)}, nil
}

// configHistory asks the leader for the versions that the quorum remembers, oldest first.
func (s *Service) configHistory() (ConfigAnswer, error) {
	reply, err := s.queryConfig(config.QueryHistory)
	if err != nil {
		return ConfigAnswer{}, err
	}
	return ConfigAnswer{Versions: reply.Answer.Versions, From: string(reply.From)}, nil
}

func (s *Service) queryConfig(kind config.QueryKind) (*config.QueryResult, error) {
	reply, err := s.requestConfig(configQueryTime, func(now float64, ref uint64, r *config.Replica) { r.Query(now, ref, kind) })
	if errors.Is(err, errUnanswered) {
		err = errNoLeader
	}
	return reply.answer, err
}

// showConfig finds a version's document; number 0 is the newest.
func (s *Service) showConfig(number uint64) (ConfigAnswer, error) {
	history, err := s.configHistory()
	if err != nil {
		return history, err
	}
	return s.fetchVersion(history, cmp.Or(number, newest(history.Versions)))
}

// fetchVersion finds the document of a version, here or at a voter.
func (s *Service) fetchVersion(history ConfigAnswer, number uint64) (ConfigAnswer, error) {
	for _, v := range history.Versions {
		if v.Number != number {
			continue
		}
		reply, err := s.requestConfig(configLookupTime, func(now float64, ref uint64, r *config.Replica) { r.FetchDocument(now, ref, v.Hash) })
		if err != nil {
			return ConfigAnswer{}, err
		}
		if reply.document.Document == nil {
			return ConfigAnswer{}, fmt.Errorf("the document of version %d was found at no voter", number)
		}
		return ConfigAnswer{Version: &v, Document: reply.document.Document, From: history.From}, nil
	}
	return ConfigAnswer{}, fmt.Errorf("version %d is not remembered: the quorum has the last %d", number, config.MaxHistory)
}

// newest is the number of the last version; 0: there is none.
func newest(versions []config.Version) uint64 {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].Number
}

// requestConfig puts a request to the replica and waits for its reply. After errBusy or errTooMany nothing was begun; after
// another error the request may have had its effect.
func (s *Service) requestConfig(within time.Duration, request func(now float64, ref uint64, r *config.Replica)) (configReply, error) {
	waiter := configWaiter{reply: make(chan configReply, 1)}
	ref := s.config.ref.Add(1)
	begun := make(chan struct{})
	var claimed atomic.Bool // by the session, which begins, or by this goroutine, which gives up
	begin := func(in *session) {
		if !claimed.CompareAndSwap(false, true) {
			return
		}
		close(begun)
		waiter.until = in.now() + float64(within)/float64(time.Millisecond)
		in.beginConfig(ref, waiter, request)
	}
	timer := time.NewTimer(controlTime)
	defer timer.Stop()
	select {
	case s.inbox <- begin:
	case <-timer.C:
		return configReply{}, errBusy
	case <-s.done:
		return configReply{}, errBusy
	}
	select {
	case <-begun:
	case <-timer.C:
	case <-s.done:
	}
	if claimed.CompareAndSwap(false, true) {
		return configReply{}, errBusy
	}
	timer.Reset(within + controlTime) // the session ends the wait before
	select {
	case reply := <-waiter.reply:
		return reply, reply.err
	case <-timer.C:
		return configReply{}, errUnanswered
	case <-s.done:
		return configReply{}, errEnded
	}
}

// beginConfig puts a request to the replica.
func (in *session) beginConfig(ref uint64, w configWaiter, request func(now float64, ref uint64, r *config.Replica)) {
	if len(in.config.waiters) >= maxConfigWaiters {
		w.reply <- configReply{err: errTooMany}
		return
	}
	in.config.waiters[ref] = w
	in.core.WithConfig(in.now(), func(r *config.Replica) { request(in.now(), ref, r) })
}
