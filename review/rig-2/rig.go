//go:build review2

package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is one run of a case: the record, the temporary folder and all that has to be ended.
type rig struct {
	root    string
	folder  string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	ends   []func()
	broken []string
}

// problem ends a case that can't run.
type problem struct{ error }

func (r *rig) must(err error) {
	if err != nil {
		panic(problem{err})
	}
}

// ms returns the time since the start of the run in ms.
func (r *rig) ms(t time.Time) float64 { return float64(t.Sub(r.began).Microseconds()) / 1e3 }

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%10.1f  %s\n", r.ms(now), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.note("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// atEnd has a function called at the end of the run.
func (r *rig) atEnd(end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends = append(r.ends, end)
}

func (r *rig) close() {
	r.mu.Lock()
	ends := r.ends
	r.ends = nil
	r.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	os.RemoveAll(r.folder)
}

// controller is the process of a controller.
type controller struct {
	r      *rig
	name   string
	cmd    *exec.Cmd
	listen string
	ended  chan struct{}
}

// deployRun returns the command `run` of the deploy file.
func (r *rig) deployRun() string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	r.must(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			command, err := strconv.Unquote(value)
			r.must(err)
			return command
		}
	}
	panic(problem{fmt.Errorf("the deploy file has no command run")})
}

// freeAddress returns a loopback address that nobody listens on.
func (r *rig) freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.must(err)
	defer l.Close()
	return l.Addr().String()
}

// startController starts one of a number of controllers and waits until it answers an empty query.
func (r *rig) startController(index, count int, settings map[string]any, d *discovery, operator string) *controller {
	c := &controller{r: r, name: fmt.Sprintf("n%d", index+1), listen: r.freeAddress(), ended: make(chan struct{})}
	settings["n_instances"], settings["me"] = count, index
	config := map[string]any{
		"name": c.name, "listen": c.listen, "seed": fmt.Sprintf("8c1f30d27a5be96%d", index),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"bulletin": d.address, "known": d.known(), "settings": settings,
	}
	text, err := json.Marshal(config)
	r.must(err)
	path := filepath.Join(r.folder, c.name+".json")
	r.must(os.WriteFile(path, text, 0o600))
	log, err := os.Create(filepath.Join(r.folder, c.name+".log"))
	r.must(err)
	defer log.Close()
	c.cmd = exec.Command("/bin/sh", "-c", r.deployRun())
	c.cmd.Dir = r.root
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive this process
	c.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, "TMPDIR=" + r.folder,
		"PROXY_NAME=" + c.name, "PROXY_LISTEN=" + c.listen, "PROXY_CONFIG=" + path}
	if operator != "" {
		c.cmd.Env = append(c.cmd.Env, "MINTKEEL_OPERATOR="+operator)
	}
	c.cmd.Stdout, c.cmd.Stderr = log, log
	r.must(c.cmd.Start())
	go func() { c.cmd.Wait(); close(c.ended) }()
	r.atEnd(c.kill)
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if s, err := dial(c.listen); err == nil {
			reply := s.ask(";", time.Second)
			s.close()
			if reply.err == nil {
				r.note("controller %s is ready", c.name)
				return c
			}
		}
		if time.Now().After(until) {
			panic(problem{fmt.Errorf("the controller is not ready: %s", c.log())})
		}
	}
}

func (c *controller) signal(s syscall.Signal) {
	c.r.note("controller %s gets signal %v", c.name, s)
	c.cmd.Process.Signal(s)
}

// running reports whether the process has not ended.
func (c *controller) running() bool {
	select {
	case <-c.ended:
		return false
	default:
		return true
	}
}

func (c *controller) kill() {
	c.cmd.Process.Signal(syscall.SIGCONT)
	c.cmd.Process.Kill()
	<-c.ended
}

func (c *controller) log() string {
	text, _ := os.ReadFile(filepath.Join(c.r.folder, c.name+".log"))
	return string(text)
}

// standStill has the controller get no turn for a time, in which meanwhile is called. A run whose machine
// is so late that the time gets longer than the longest allowed is none.
func (c *controller) standStill(d, longest time.Duration, meanwhile func()) {
	began := time.Now()
	c.signal(syscall.SIGSTOP)
	meanwhile()
	late := time.Since(began) > d
	time.Sleep(time.Until(began.Add(d)))
	c.signal(syscall.SIGCONT)
	if took := time.Since(began); late || took > longest {
		panic(problem{fmt.Errorf("the controller stood still for %v", took)})
	}
}

// run plays a case and returns the exit code.
func run(name, out string, trouble bool) (code int) {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		return 2
	}
	record, err := os.Create(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return 2
	}
	r := &rig{root: root, folder: folder, trouble: trouble, began: time.Now(), record: record}
	defer r.close()
	defer func() {
		if recovered := recover(); recovered != nil {
			p, ok := recovered.(problem)
			if !ok {
				panic(recovered)
			}
			r.note("COULD NOT RUN: %v", p)
			fmt.Println("could not run:", p)
			code = 2
		}
	}()
	r.note("case %s, trouble %v", name, trouble)
	limit := time.AfterFunc(110*time.Second, func() {
		r.note("COULD NOT RUN: over time")
		r.close()
		os.Exit(2)
	})
	defer limit.Stop()
	play(r)
	if len(r.broken) > 0 {
		r.note("result: the rule was broken %d times", len(r.broken))
		fmt.Printf("broken %d times: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	r.note("result: the rule held")
	fmt.Println("held")
	return 0
}

func main() {
	runtime.LockOSThread() // Pdeathsig goes by the thread that started the process
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *out, os.Getenv("TROUBLE") != "0"))
}
