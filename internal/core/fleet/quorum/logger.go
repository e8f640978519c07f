package quorum

import "fmt"

// discardLogger discards the raft library's log, which has a line for each vote; operators see the
// replica's role and its reason instead. Fatal and Panic still panic: the library must not continue
// after it has detected an inconsistency, and the process has to end.
type discardLogger struct{}

func (discardLogger) Debug(...any) {}

func (discardLogger) Debugf(string, ...any) {}

func (discardLogger) Info(...any) {}

func (discardLogger) Infof(string, ...any) {}

func (discardLogger) Warning(...any) {}

func (discardLogger) Warningf(string, ...any) {}

func (discardLogger) Error(...any) {}

func (discardLogger) Errorf(string, ...any) {}

func (discardLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (discardLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
