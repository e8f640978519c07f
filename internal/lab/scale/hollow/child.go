package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// action is the action that a request asks of a child process.
type action string

const (
	actionOpen         action = "open"
	actionStart        action = "start"
	actionStop         action = "stop"
	actionAwaitMembers action = "await members"
	actionAwaitRestart action = "await restarts"
	actionAwaitLoss    action = "await loss"
	actionPut          action = "put"
	actionViews        action = "views"
	actionStandings    action = "standings"
	actionSample       action = "sample"
	actionCut          action = "cut"
	actionHeal         action = "heal"
)

// request is one line of JSON that a child reads.
type request struct {
	Action   action `json:"action"`
	Spec     *Spec  `json:"spec,omitempty"`     // of actionOpen
	Folder   string `json:"folder,omitempty"`   // of actionOpen
	Numbers  []int  `json:"numbers,omitempty"`  // of actionStart, actionStop, actionAwaitRestart, actionPut and actionCut
	Expect   int    `json:"expect,omitempty"`   // number of members, of actionStart, actionAwaitMembers and actionAwaitRestart
	Document []byte `json:"document,omitempty"` // of actionPut
	Lost     int    `json:"lost,omitempty"`     // of actionAwaitLoss
}

// reply is the line of JSON with which a child answers a request.
type reply struct {
	Error       string       `json:"error,omitempty"`
	Version     uint64       `json:"version,omitempty"`
	Views       []View       `json:"views,omitempty"`
	QuorumViews []QuorumView `json:"standings,omitempty"`
	Sample      *Sample      `json:"sample,omitempty"`
}

// ServeChild runs a share of a fleet in this process. It performs the requests that it reads, until its input or the context
// ends. Then it stops all controllers; if they do not stop in time, the process exits.
func ServeChild(ctx context.Context, in io.ReadCloser, out io.Writer) error {
	const closeTime = 5 * time.Second
	defer context.AfterFunc(ctx, func() { in.Close() })()
	child := &child{}
	defer func() {
		defer time.AfterFunc(closeTime, func() { os.Exit(1) }).Stop()
		if child.share != nil {
			child.share.Close()
		}
	}()
	requests, replies := json.NewDecoder(in), json.NewEncoder(out)
	for {
		var r request
		err := requests.Decode(&r)
		if errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("request: %w", err)
		}
		answer, err := child.handle(r)
		if err != nil {
			answer.Error = err.Error()
		}
		if err := replies.Encode(answer); err != nil {
			return nil // the parent no longer reads replies
		}
	}
}

type child struct{ share *Share }

func (c *child) handle(r request) (answer reply, err error) {
	if r.Action == actionOpen {
		if c.share != nil || r.Spec == nil {
			return answer, errors.New("the share is already open, or the request has no spec")
		}
		c.share, err = NewShare(*r.Spec, r.Folder)
		return answer, err
	}
	if c.share == nil {
		return answer, errors.New("the first request must open the share")
	}
	switch r.Action {
	case actionStart:
		err = c.share.Start(r.Numbers, r.Expect)
	case actionStop:
		c.share.Stop(r.Numbers)
	case actionAwaitMembers:
		c.share.AwaitMembers(r.Expect)
	case actionAwaitRestart:
		c.share.AwaitRestarts(r.Expect, r.Numbers)
	case actionAwaitLoss:
		c.share.AwaitLoss(r.Lost)
	case actionPut:
		if len(r.Numbers) != 1 {
			return answer, errors.New("a put needs exactly one controller")
		}
		answer.Version, err = c.share.Put(r.Numbers[0], r.Document)
	case actionViews:
		answer.Views = c.share.Views()
	case actionStandings:
		answer.QuorumViews = c.share.QuorumViews()
	case actionSample:
		var sample Sample
		sample, err = c.share.Sample()
		answer.Sample = &sample
	case actionCut:
		c.share.Cut(r.Numbers)
	case actionHeal:
		c.share.Heal()
	default:
		err = fmt.Errorf("unknown action %q", r.Action)
	}
	return answer, err
}
