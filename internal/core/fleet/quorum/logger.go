package quorum

import "fmt"

// quietLogger discards the raft library's log, which has a line for each vote; what operators are
// to see is in the replica's role and its reason. The library's panics stay: it must not go on
// where it finds itself broken, and the caller ends the process.
type quietLogger struct{}

func (quietLogger) Debug(...any) {}

func (quietLogger) Debugf(string, ...any) {}

func (quietLogger) Info(...any) {}

func (quietLogger) Infof(string, ...any) {}

func (quietLogger) Warning(...any) {}

func (quietLogger) Warningf(string, ...any) {}

func (quietLogger) Error(...any) {}

func (quietLogger) Errorf(string, ...any) {}

func (quietLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

func (quietLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}

func (quietLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

func (quietLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
