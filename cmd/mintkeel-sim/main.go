// Command mintkeel-sim runs the decision module behind the simulator's wire. It keeps one module
// for each simulated controller, and converts input lines to the module's events and the module's
// actions to output lines. It makes no decisions itself.
//
// It reads batches of messages from standard input and answers each on standard output. On a
// malformed line it exits with code 1 and names the line and the field on standard error. A panic
// of the module is reported to the simulator as a line, and the command continues.
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

// controller is a simulated controller that is running.
type controller struct {
	names  names          // of its settings
	module *router.Router // makes its decisions
	events []router.Event // input of the next step
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

// answer delivers the messages of a batch, then runs one step of each controller that got a
// message, in the order of their first messages, and ends the answer.
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
		if c := controllers[number]; c != nil { // nil: the batch stopped it
			c.step(w, number, milliseconds(batch.Now))
		}
	}
	return w.End(batch.Number)
}

// deliver starts or stops a controller, or queues a message's event for the controller's next step.
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
		why := fmt.Sprintf("controller %d is not running", number)
		return &simwire.FieldError{Line: m.Line, Field: "controller", Why: why}
	}
	event, err := c.names.event(m)
	if event != nil {
		c.events = append(c.events, event)
	}
	return err
}

// start returns a new controller with the settings of a message. Invalid settings give a
// *simwire.FieldError.
func start(line int, m simwire.Start) (*controller, error) {
	facts, err := settings.Read(settings.Values(m.Options))
	var field *settings.FieldError
	if errors.As(err, &field) {
		return nil, &simwire.FieldError{Line: line, Field: field.Field, Why: field.Why}
	}
	return &controller{names: names(facts.Names), module: facts.NewRouter(int64(m.Seed))}, nil
}

// step passes the queued events to the controller's module and writes the resulting actions. A
// panic of the module is reported in their place.
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
