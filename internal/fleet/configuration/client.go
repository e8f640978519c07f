package configuration

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"mintkeel/internal/core/fleet/config"
)

// replyGrace is how much longer than a request's timeout Call waits. It is a backstop: the session
// ends the wait earlier.
const replyGrace = 3 * time.Second

// Errors of requests.
var (
	ErrOff       = errors.New("there is no block config in this controller's file")
	ErrNoLeader  = errors.New("the leader of the quorum does not answer")
	ErrRestarted = errors.New("the controller's fleet session ended before the request was answered")

	errTimeout         = errors.New("no answer in time")
	errTooManyRequests = errors.New("too many concurrent requests")
	errShuttingDown    = errors.New("the controller is shutting down")
)

// notStartedError means that the session's goroutine did not start a request and never will.
type notStartedError struct{ cause error }

func (e *notStartedError) Error() string { return e.cause.Error() }
func (e *notStartedError) Unwrap() error { return e.cause }

// hadNoEffect reports whether an error means that the request did not reach the replica.
func hadNoEffect(err error) bool {
	var notBegun *notStartedError
	return errors.As(err, &notBegun) || errors.Is(err, errTooManyRequests)
}

// Executor runs functions on the goroutine of the service's session.
type Executor interface {
	// Execute calls a function with the session and returns once the call has begun. After an error
	// the function was not called and never will be.
	Execute(f func(*Session)) error
	// Done returns a channel that is closed once no more functions are called.
	Done() <-chan struct{}
}

// Client executes operators' requests. Its methods block until the replica answers, so any
// goroutine except the session's may call them.
type Client struct {
	manager  *Manager
	executor Executor
}

// NewClient returns a client; the manager is nil without a config block.
func NewClient(manager *Manager, executor Executor) *Client {
	return &Client{manager: manager, executor: executor}
}

// Do executes an operator's request. All errors except ErrOff and that of a nil request come with
// an answer, which has the version in force here.
func (c *Client) Do(request *Request) (*Answer, error) {
	if c.manager == nil {
		return nil, ErrOff
	}
	if request == nil {
		return nil, errors.New("the configuration request is missing")
	}
	answer, err := c.dispatch(request)
	answer.Local = c.manager.Readiness()
	return &answer, err
}

func (c *Client) dispatch(request *Request) (Answer, error) {
	switch request.Action {
	case ActionPut:
		return c.put(request)
	case ActionStatus:
		return c.status()
	case ActionHistory:
		return c.history()
	case ActionShow:
		return c.show(request.Number)
	case ActionRollback:
		return c.rollback(request)
	default:
		return Answer{}, fmt.Errorf("%.64q is not a known action", request.Action)
	}
}

// put checks a document here and proposes it as the next version.
func (c *Client) put(request *Request) (Answer, error) {
	if reason := c.checkUsable(request.Document); reason != "" {
		return Answer{Result: ResultRefused, Reason: reason}, nil
	}
	if request.Expect != nil {
		return c.propose(request, request.Document, *request.Expect, 0)
	}
	history, err := c.history()
	if err != nil {
		return history, fmt.Errorf("nothing was proposed: %w", err)
	}
	return c.propose(request, request.Document, newestNumber(history.Versions), 0)
}

// rollback checks the document of an earlier version here and proposes it as the next version.
func (c *Client) rollback(request *Request) (Answer, error) {
	history, err := c.history()
	if err != nil {
		return history, fmt.Errorf("nothing was proposed: %w", err)
	}
	shown, err := c.fetch(history, request.Number)
	if err != nil {
		return Answer{}, fmt.Errorf("nothing was proposed: %w", err)
	}
	if reason := c.checkUsable(shown.Document); reason != "" {
		return Answer{Result: ResultRefused, Reason: reason}, nil
	}
	expect := newestNumber(history.Versions)
	if request.Expect != nil {
		expect = *request.Expect
	}
	return c.propose(request, shown.Document, expect, request.Number)
}

// checkUsable returns why a document may not be proposed; "" if it may.
func (c *Client) checkUsable(document []byte) string {
	switch {
	case len(document) == 0:
		return "the document is empty"
	case len(document) > config.MaxDocument:
		return oversizedReason(len(document))
	}
	if err := c.manager.check(document); err != nil {
		return problemText(err)
	}
	return ""
}

// propose proposes a checked document as the version after the expected one, and waits for the
// result. It loses if the expected version is no longer the newest.
func (c *Client) propose(
	request *Request, document []byte, expect, rollbackOf uint64,
) (Answer, error) {
	v := config.Version{
		Author:     request.Author,
		Reason:     request.Reason,
		Time:       time.Now().UnixMilli(),
		RollbackOf: rollbackOf,
	}
	reply, err := c.Call(proposeTimeout, func(now float64, ref uint64, replica *config.Replica) {
		replica.Propose(now, ref, document, expect, v)
	})
	if hadNoEffect(err) {
		return Answer{}, fmt.Errorf("nothing was proposed: %w", err)
	}
	if err != nil {
		return Answer{Result: ResultUnknown, Reason: err.Error()}, nil
	}
	return Answer{
		Result:  resultName(reply.proposal.Result),
		Reason:  reply.proposal.Reason,
		Version: &reply.proposal.Version,
	}, nil
}

// status requests from the leader where versions are in force.
func (c *Client) status() (Answer, error) {
	result, err := c.query(config.QueryStatus)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Status: result.Answer.Status, From: string(result.From)}, nil
}

// history requests from the leader the versions that the quorum keeps, oldest first.
func (c *Client) history() (Answer, error) {
	result, err := c.query(config.QueryHistory)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Versions: result.Answer.Versions, From: string(result.From)}, nil
}

// query queries the leader. The error is ErrNoLeader if the leader does not answer in time.
func (c *Client) query(kind config.QueryKind) (*config.QueryResult, error) {
	reply, err := c.Call(QueryTimeout, func(now float64, ref uint64, replica *config.Replica) {
		replica.Query(now, ref, kind)
	})
	if errors.Is(err, errTimeout) {
		err = ErrNoLeader
	}
	return reply.query, err
}

// show returns the document of a version; number 0 stands for the newest.
func (c *Client) show(number uint64) (Answer, error) {
	history, err := c.history()
	if err != nil {
		return history, err
	}
	return c.fetch(history, cmp.Or(number, newestNumber(history.Versions)))
}

// fetch returns the document of a version, from this controller or from a voter.
func (c *Client) fetch(history Answer, number uint64) (Answer, error) {
	for _, v := range history.Versions {
		if v.Number != number {
			continue
		}
		reply, err := c.Call(fetchTimeout, func(now float64, ref uint64, replica *config.Replica) {
			replica.FetchDocument(now, ref, v.Hash)
		})
		if err != nil {
			return Answer{}, err
		}
		if reply.document.Document == nil {
			return Answer{}, fmt.Errorf("no reachable voter has the document of version %d", number)
		}
		return Answer{Version: &v, Document: reply.document.Document, From: history.From}, nil
	}
	return Answer{}, fmt.Errorf(
		"version %d is not in the history: the quorum keeps the last %d", number, config.MaxHistory)
}

// newestNumber returns the number of the last version; 0 if there is none.
func newestNumber(versions []config.Version) uint64 {
	if len(versions) == 0 {
		return 0
	}
	return versions[len(versions)-1].Number
}

// ReplicaRequest submits a request to the replica under the number ref; now is in ms.
type ReplicaRequest func(now float64, ref uint64, replica *config.Replica)

// Reply is the replica's answer to a request; one of its fields is set.
type Reply struct {
	proposal *config.ProposalResult
	query    *config.QueryResult
	document *config.DocumentResult
	err      error
}

// Call submits a request to the replica on the session's goroutine and waits for the reply. The
// session ends the wait after the timeout. After an error for which hadNoEffect is false, the
// request may have taken effect.
func (c *Client) Call(timeout time.Duration, request ReplicaRequest) (Reply, error) {
	reply := make(chan Reply, 1)
	ref := c.manager.lastRef.Add(1)
	err := c.executor.Execute(func(session *Session) {
		session.submit(ref, waiter{reply: reply}, timeout, request)
	})
	if err != nil {
		return Reply{}, &notStartedError{err}
	}
	timer := time.NewTimer(timeout + replyGrace)
	defer timer.Stop()
	select {
	case received := <-reply:
		return received, received.err
	case <-timer.C:
		return Reply{}, errTimeout
	case <-c.executor.Done():
		return Reply{}, errShuttingDown
	}
}
