//go:build review2

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["drain"] = drain }

// operatorFile writes the operator's file of a fleet of one controller with maintenance, as in
// deploy/operator.hcl, and the programs of the installation, which have nothing to do.
func (r *rig) operatorFile() (path, folder string) {
	folder = filepath.Join(r.folder, "fleet")
	key := filepath.Join(r.folder, "fleet.key")
	r.must(os.WriteFile(key, []byte(strings.Repeat("5a", 32)+"\n"), 0o600))
	program := filepath.Join(r.folder, "program")
	r.must(os.WriteFile(program, []byte("#!/bin/sh\nexit 0\n"), 0o700))
	address := r.freeAddress()
	text := fmt.Sprintf(`fleet {
  name     = "east"
  listen   = %q
  key_file = %q
  folder   = %q
  council  = { n1 = %q }
  works    = ["digest", "maintenance"]
}
maintenance {
  drain   = %q
  back    = %q
  prepare = "0s"
}
`, address, key, folder, address, program, program)
	path = filepath.Join(r.folder, "operator.hcl")
	r.must(os.WriteFile(path, []byte(text), 0o600))
	return path, folder
}

// command runs a command of the controller's program.
func (r *rig) command(args ...string) (string, error) {
	out, err := exec.Command(filepath.Join(r.root, "bin", "mintkeel"), args...).CombinedOutput()
	r.note("mintkeel %s: %v\n%s", strings.Join(args, " "), err, strings.TrimSpace(string(out)))
	return string(out), err
}

// traffic has a client send small queries on a session until the channel is closed.
func (d *deployment) traffic(r *rig, stop chan struct{}, wait *sync.WaitGroup, number int) {
	s := d.session(r, "lookup")
	wait.Go(func() {
		for n := number * 7; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			_, text := query("lookup", 3000, "", fmt.Sprintf("SELECT WORK(25) FROM sales_%d.orders", n%41+1))
			if p := s.ask(text, 4*time.Second); p.err != nil {
				r.note("client: %s", p.verdict())
				return
			}
		}
	})
}

// drain: rule 3. Discovery is down for 8 s, and an engine begins to drain within that time. While it is
// down, an operator takes another engine out by a plan. What discovery had to tell counts as told 2 s
// after the break; a send counts as late from the grace and 50 ms after that.
func drain(r *rig) {
	const (
		down   = 8 * time.Second
		toldBy = 2 * time.Second // after the break, or after the event if that is later
		grace  = 550 * time.Millisecond
	)
	operator, folder := r.operatorFile()
	d := r.deploy(1, tacoma(), []int{0, 1, 0, 1, 0}, 0, operator)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for n := range 6 {
		d.traffic(r, stop, &wait, n)
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(500 * time.Millisecond) {
		out, err := r.command("maintenance", "status", "--folder", folder)
		if err == nil && !strings.Contains(out, "does not conduct") {
			break
		}
		if time.Now().After(until) {
			panic(problem{fmt.Errorf("nobody conducts maintenance: %s", out)})
		}
	}
	if r.trouble {
		d.discovery.down()
	}
	time.Sleep(200 * time.Millisecond)
	leaving, other := d.engines[1], d.engines[2]
	at := d.discovery.tell(listed{e: leaving, state: draining})
	leaving.setDraining()
	time.Sleep(800 * time.Millisecond)
	plan := filepath.Join(r.folder, "plan.hcl")
	if os.Getenv("PLAN") != "0" {
		r.must(os.WriteFile(plan, []byte(fmt.Sprintf("plan \"kernel\" {\n  engines = [%q]\n  needs   = \"20m\"\n}\n", other.name)), 0o600))
		if _, err := r.command("maintenance", "plan", plan, "--folder", folder); err != nil {
			panic(problem{fmt.Errorf("the plan was not taken: %w", err)})
		}
	}
	time.Sleep(time.Until(at.Add(down - 200*time.Millisecond)))
	r.command("maintenance", "status", "--folder", folder)
	if r.trouble {
		d.discovery.up()
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	wait.Wait()
	late := 0
	for _, a := range d.fleet.arrivals() {
		after := a.at.Sub(at)
		if a.engine == leaving.name && after > toldBy+grace {
			late++
			r.note("late: %s came to %s %d ms after it began to drain: %s", a.id, a.engine, after.Milliseconds(), a.outcome)
		}
	}
	if late > 0 {
		r.breaks("%d queries were sent to %s more than %d ms after it began to drain", late, leaving.name,
			(toldBy + grace).Milliseconds())
	}
	r.note("%s", d.controller.log())
}
