// Command mintkeel-sim runs the decision module behind the simulator's wire. It keeps a module for
// each controller, and turns lines into the module's events and its actions into lines. It decides
// nothing itself.
//
// It reads batches of messages from standard input and answers each on standard output. After a
// malformed line it exits with code 1, with the line's number and field on standard error. A panic
// of the module is reported to the simulator as a line, and the command goes on.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"mintkeel/internal/settings"
	"mintkeel/internal/simwire"
	"mintkeel/router"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "mintkeel-sim:", err)
		os.Exit(1)
	}
}

// controller is one controller.
type controller struct {
	names  names          // of its settings
	module *router.Router // that decides for it
	events []router.Event // for its next step
}

// serve answers batches until the end of input.
func serve(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	writer := simwire.NewWriter(out)
	controllers := map[int]*controller{} // by number
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(writer, controllers, batch); err != nil {
			return err
		}
	}
}

// answer delivers the messages of a batch, then has each controller that got one do a step, in the
// order of their first messages, and ends the answer.
func answer(w *simwire.Writer, controllers map[int]*controller, batch *simwire.Batch) error {
	var numbers []int
	seen := map[int]bool{}
	for _, m := range batch.Messages {
		if err := deliver(controllers, m); err != nil {
			return err
		}
		number := m.Body.ControllerNumber()
		if !seen[number] {
			seen[number] = true
			numbers = append(numbers, number)
		}
	}
	for _, number := range numbers {
		if c := controllers[number]; c != nil { // else it was stopped
			c.step(w, number, milliseconds(batch.Now))
		}
	}
	return w.End(batch.Number)
}

// deliver starts or stops a controller, or adds the event of a message to its next step.
func deliver(controllers map[int]*controller, m simwire.Message) error {
	number := m.Body.ControllerNumber()
	switch body := m.Body.(type) {
	case simwire.Start:
		c, err := start(m.Line, body)
		controllers[number] = c
		return err
	case simwire.Stop:
		delete(controllers, number)
		return nil
	}
	c := controllers[number]
	if c == nil {
		why := fmt.Sprintf("%d is not up", number)
		return &simwire.FieldError{Line: m.Line, Field: "controller", Why: why}
	}
	event, err := c.names.event(m)
	if event != nil {
		c.events = append(c.events, event)
	}
	return err
}

// start returns a new controller with the settings of a message. The error of settings that can't
// be used is a *simwire.FieldError.
func start(line int, m simwire.Start) (*controller, error) {
	facts, err := settings.Read(settings.Values(m.Options))
	var field *settings.FieldError
	if errors.As(err, &field) {
		return nil, &simwire.FieldError{Line: line, Field: field.Field, Why: field.Why}
	}
	return &controller{names: names(facts.Names), module: facts.NewRouter(int64(m.Seed))}, nil
}

// step has a controller's module decide and writes its actions, or reports its panic instead.
func (c *controller) step(w *simwire.Writer, number int, now float64) {
	defer func() {
		if failure := recover(); failure != nil {
			w.Line(reportPanic, number, fmt.Sprint(failure))
		}
	}()
	actions := c.module.Step(now, c.events)
	c.events = c.events[:0]
	writeActions(w, number, actions)
}
