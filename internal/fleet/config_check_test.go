package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"mintkeel/internal/core/fleet/config"
	"mintkeel/internal/fleet/configuration"
	"mintkeel/internal/fleet/control"
)

// checkAnswerTimeout bounds an operator's request to a controller that is checking a document.
const checkAnswerTimeout = 5 * time.Second

// A slow check of a document at the leader, or at a controller that does not vote, must not block its
// session: it keeps answering operators and sending messages, and the leader stays. Once the check has ended,
// the version is in force everywhere.
func TestSlowCheckDoesNotHoldUpTheService(t *testing.T) {
	t.Parallel()
	for name, slowLeads := range map[string]bool{"the leader": true, "no voter": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startConfigFleet(t, 4, nil)
			one := f.put(0, []byte("one"))
			f.awaitInForce(one, []byte("one"), 0, 1, 2, 3)
			f.eventually("every controller sees all members alive", f.allMembersAlive)
			leader := f.leaderSeenBy(0)
			slowController, author := 3, (leader+1)%configVoters
			if slowLeads {
				slowController = leader
			}
			checkStarted, releaseCheck := make(chan struct{}), make(chan struct{})
			var startOnce, releaseOnce sync.Once
			endChecks := func() { releaseOnce.Do(func() { close(releaseCheck) }) }
			t.Cleanup(endChecks)
			f.hosts[slowController].setCheck(func([]byte) error {
				startOnce.Do(func() { close(checkStarted) })
				<-releaseCheck
				return nil
			})
			agreed := make(chan config.Version, 1)
			go func() {
				answer, err := f.request(author, configuration.Request{Action: configuration.ActionPut,
					Document: []byte("two"), Author: "a", Reason: "r"})
				if err != nil || answer.Version == nil {
					t.Errorf("put: %+v, %v", answer, err)
					answer.Version = &config.Version{}
				}
				agreed <- *answer.Version
			}()
			select {
			case <-checkStarted:
			case <-time.After(checkAnswerTimeout):
				t.Fatal("no check started in time")
			}
			ctx, cancel := context.WithTimeout(t.Context(), checkAnswerTimeout)
			defer cancel()
			sentBefore := f.linkCount(slowController, "sent")
			status, err := control.Call(ctx, f.folder(slowController), control.Request{Action: "status"})
			if err != nil {
				t.Fatalf("a controller that is checking a document does not answer: %v", err)
			}
			if status.Quorum.Leader != fmt.Sprint("n", leader) {
				t.Errorf("the leader is %s during the check, want the same as before", status.Quorum.Leader)
			}
			f.eventually("the controller sends messages during the check", func() bool { return f.linkCount(slowController, "sent") > sentBefore+10 })
			if f.leaderSeenBy(author) != leader {
				t.Error("the leader changed during the check")
			}
			if f.hosts[slowController].usesVersion(2, []byte("two")) {
				t.Error("a version is in force before its check has ended")
			}
			endChecks()
			f.awaitInForce(<-agreed, []byte("two"), 0, 1, 2, 3)
			f.checkVersionsNeverDecrease()
		})
	}
}
