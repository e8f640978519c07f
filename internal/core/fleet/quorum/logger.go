package quorum

import "fmt"

// quietLogger is the consensus library's log, which reports each vote. What operators are to see the quorum reports itself.
// Where the library finds itself broken it must not go on: its panics stay, and the caller takes them as its end.
type quietLogger struct{}

func (quietLogger) Debug(...any)            {}
func (quietLogger) Debugf(string, ...any)   {}
func (quietLogger) Info(...any)             {}
func (quietLogger) Infof(string, ...any)    {}
func (quietLogger) Warning(...any)          {}
func (quietLogger) Warningf(string, ...any) {}
func (quietLogger) Error(...any)            {}
func (quietLogger) Errorf(string, ...any)   {}
func (quietLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quietLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quietLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (quietLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
