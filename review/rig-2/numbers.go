//go:build review2

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["numbers"] = numbers }

// platform does what the programs of the installation ask for: it has the list tell that an engine
// drains, and that it is there again. It returns what was asked so far.
func (d *deployment) platform(asked string) func() []string {
	handled := 0
	return func() []string {
		text, _ := os.ReadFile(asked)
		lines := strings.Split(strings.TrimSpace(string(text)), "\n")
		for ; handled < len(lines) && lines[handled] != ""; handled++ {
			words := strings.Fields(lines[handled])
			for _, e := range d.engines {
				switch {
				case e.name != words[1]:
				case words[0] == "drain":
					d.discovery.tell(listed{e: e, state: draining})
				case words[0] == "back":
					d.discovery.tell(listed{e: e, state: ready})
				}
			}
		}
		return lines
	}
}

// numbers: not a case, as the operators' pages have no rule on it. A plan of maintenance is done and
// withdrawn, then another plan takes the same engine. Its work has to be asked for. (TROUBLE=0: the first
// is not withdrawn. Then the two plans count as one, by docs/maintenance.md, so that run is no comparison.)
func numbers(r *rig) {
	operator, folder := r.operatorFile()
	asked := filepath.Join(r.folder, "asked")
	program := filepath.Join(r.folder, "program")
	r.must(os.WriteFile(program, []byte("#!/bin/sh\necho \"$@\" >>"+asked+"\n"), 0o700))
	text, err := os.ReadFile(operator)
	r.must(err)
	r.must(os.WriteFile(operator, []byte(strings.Replace(string(text), "  back ", fmt.Sprintf("  work = %q\n  back ", program), 1)), 0o600))
	d := r.deploy(1, tacoma(), []int{0, 1, 0}, 0, operator)
	platform := d.platform(asked)
	wait := func(within time.Duration, what string) bool {
		// Each status takes the place of a step, of which there is one each 0.5 s.
		for until := time.Now().Add(within); time.Now().Before(until); {
			for range 10 {
				time.Sleep(200 * time.Millisecond)
				platform()
			}
			if out, err := r.command("maintenance", "status", "--folder", folder); err == nil && strings.Contains(out, what) {
				return true
			}
		}
		return false
	}
	if !wait(20*time.Second, "") {
		panic(problem{fmt.Errorf("nobody conducts maintenance")})
	}
	plan := func(name string) {
		path := filepath.Join(r.folder, name+".hcl")
		r.must(os.WriteFile(path, []byte(fmt.Sprintf("plan %q {\n  engines = [%q]\n  needs   = \"1m\"\n}\n", name, d.engines[1].name)), 0o600))
		_, err := r.command("maintenance", "plan", path, "--folder", folder)
		r.must(err)
	}
	plan("first")
	if !wait(25*time.Second, "done") {
		panic(problem{fmt.Errorf("the first plan was not done")})
	}
	if r.trouble {
		r.command("maintenance", "withdraw", "first", "--folder", folder)
		time.Sleep(time.Second)
	}
	plan("second")
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		platform()
	}
	r.command("maintenance", "status", "--folder", folder)
	works := 0
	for _, line := range platform() {
		r.note("asked: %s", line)
		if strings.HasPrefix(line, "work ") {
			works++
		}
	}
	if works != 2 {
		r.breaks("the work of two plans on %s was asked for %d times", d.engines[1].name, works)
	}
}
