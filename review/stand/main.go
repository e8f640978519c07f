//go:build review

// Program stand runs one case of the review: a controller as a process, stand-ins for bulletin, executors and clients.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// cases are the cases by name. Each reports whether the rule held.
var cases = map[string]func(w *world) bool{
	"idle":     idleCase,
	"order":    orderCase,
	"pipeline": pipelineCase,
	"drain":    stallDrainCase,
	"term":     termCase,
	"mix":      mixCase,
}

func init() { runtime.LockOSThread() } // controllers end with the thread that started them

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0" && os.Getenv("TROUBLE") != "restart", restart: os.Getenv("TROUBLE") == "restart", folder: temporary, root: root, began: time.Now(),
		keys: map[string]bool{}, record: record}
	defer func() {
		if problem := recover(); problem != nil {
			w.note("could not run: %v", problem)
			fmt.Println("could not run:", problem)
			code = 2
		}
		w.stop()
	}()
	w.limitTime(110 * time.Second)
	w.note("case %s, disruption: %v", name, w.trouble)
	held := cases[name](w)
	if w.unfitRun.Load() {
		panic("the run was not the case, see the record")
	}
	if !w.running() && name != "term" {
		w.note("the controller has ended by itself")
		held = false
	}
	if held {
		w.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	w.note("the rule was broken")
	fmt.Println("the rule was broken")
	return 1
}
