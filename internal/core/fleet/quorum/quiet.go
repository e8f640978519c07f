package quorum

import (
	"fmt"

	"go.etcd.io/raft/v3/tracker"
)

type raftProgress = tracker.Progress

// quiet is the consensus library's log: it tells of each vote. What operators are to hear is told by the quorum itself.
// Where the library finds itself broken it must not go on: its panics stay, and who runs it takes them as its end.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
