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

// checkAnswerWithin bounds an operator's command at a controller that checks a document.
const checkAnswerWithin = 5 * time.Second

// The leader, and then a controller that does not vote, takes long to check a document. Meanwhile it must
// go on with its part in the fleet, and once the check has ended the version is in force everywhere.
func TestSlowCheckDoesNotHoldUpTheService(t *testing.T) {
	t.Parallel()
	for name, leads := range map[string]bool{"the leader": true, "no voter": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startConfigFleet(t, 4, nil)
			one := f.put(0, []byte("one"))
			f.inForce(one, []byte("one"), 0, 1, 2, 3)
			f.eventually("all know all", f.acquainted)
			leader := f.leaderOf(0)
			slow, author := 3, (leader+1)%configVoters
			if leads {
				slow = leader
			}
			checking, release := make(chan struct{}), make(chan struct{})
			var began, ended sync.Once
			endChecks := func() { ended.Do(func() { close(release) }) }
			t.Cleanup(endChecks)
			f.hosts[slow].setCheck(func([]byte) error {
				began.Do(func() { close(checking) })
				<-release
				return nil
			})
			agreed := make(chan config.Version, 1)
			go func() {
				answer, err := f.order(author, configuration.Request{Action: configuration.ActionPut,
					Document: []byte("two"), Author: "a", Reason: "r"})
				if err != nil || answer.Version == nil {
					t.Errorf("put: %+v, %v", answer, err)
					answer.Version = &config.Version{}
				}
				agreed <- *answer.Version
			}()
			select {
			case <-checking:
			case <-time.After(checkAnswerWithin):
				t.Fatal("no check began")
			}
			ctx, cancel := context.WithTimeout(t.Context(), checkAnswerWithin)
			defer cancel()
			before := f.linkCount(slow, "sent")
			status, err := control.Call(ctx, f.folder(slow), control.Request{Action: "status"})
			if err != nil {
				t.Fatalf("one that checks a document does not answer: %v", err)
			}
			if status.Quorum.Leader != fmt.Sprint("n", leader) {
				t.Errorf("the leader is %s now", status.Quorum.Leader)
			}
			f.eventually("it goes on to send", func() bool { return f.linkCount(slow, "sent") > before+10 })
			if f.leaderOf(author) != leader {
				t.Error("another leads now")
			}
			if f.hosts[slow].uses(2, []byte("two")) {
				t.Error("a version is in force that was not checked")
			}
			endChecks()
			f.inForce(<-agreed, []byte("two"), 0, 1, 2, 3)
			f.neverOlder()
		})
	}
}
