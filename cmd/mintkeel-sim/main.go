// Command mintkeel-sim reaches the decision module over the simulator's wire: it keeps the instances by number
// and turns lines into the module's types and back. It decides nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"mintkeel/internal/simwire"
	"mintkeel/router"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "mintkeel-sim:", err)
		os.Exit(1)
	}
}

// instance is one controller: its module and what the wire's names stand for there.
type instance struct {
	names  names
	module *router.Router
	events []router.Event
}

func serve(in io.Reader, out io.Writer) error {
	reader, writer := simwire.NewReader(in), simwire.NewWriter(out)
	instances := map[int]*instance{}
	for {
		batch, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var turn []int
		seen := map[int]bool{}
		for _, m := range batch.Messages {
			number, err := deliver(instances, m)
			if err != nil {
				return err
			}
			if !seen[number] {
				seen[number] = true
				turn = append(turn, number)
			}
		}
		for _, number := range turn {
			if inst := instances[number]; inst != nil {
				act(writer, number, inst, float64(batch.Now)/1e6)
			}
		}
		if err := writer.End(batch.Number); err != nil {
			return err
		}
	}
}

// deliver hands a message to its instance and returns the instance's number.
func deliver(instances map[int]*instance, m simwire.Message) (int, error) {
	switch body := m.Body.(type) {
	case simwire.Up:
		inst, err := start(m.Line, body)
		instances[body.Controller] = inst
		return body.Controller, err
	case simwire.Retire:
		delete(instances, body.Controller)
		return body.Controller, nil
	}
	number := controllerOf(m.Body)
	inst := instances[number]
	if inst == nil {
		why := fmt.Sprintf("%d is not up", number)
		return number, &simwire.FieldError{Line: m.Line, Field: "controller", Why: why}
	}
	event, err := inst.names.event(m)
	if event != nil {
		inst.events = append(inst.events, event)
	}
	return number, err
}

func act(w *simwire.Writer, number int, inst *instance, now float64) {
	defer func() {
		if failure := recover(); failure != nil {
			w.Line("bug", number, fmt.Sprint(failure))
		}
	}()
	actions := inst.module.Step(now, inst.events)
	inst.events = inst.events[:0]
	write(w, number, actions)
}

func write(w *simwire.Writer, number int, actions []router.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case router.StartAttempt:
			w.Line("submit_to", number, uint32(a.ID), string(a.Engine), int64(math.Floor(a.Deadline*1e6)))
		case router.CancelAttempt:
			w.Line("recall", number, uint32(a.ID), int(a.Attempt))
		case router.Reject:
			w.Line("deny", number, uint32(a.ID), int64(a.RetryAfter*1e6))
		case router.Fail:
			w.Line("finish_error", number, uint32(a.ID))
		case router.SetTimer:
			w.Line("set_timer", number, int64(math.Ceil(a.After*1e6)), 0)
		case router.CheckHealth:
			w.Line("touch", number, string(a.Engine))
		case router.Subscribe:
			w.Line("follow", number, 1)
		}
	}
}
