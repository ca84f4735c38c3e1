package processes

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one process of an entry.
type process struct {
	entry   string
	number  int
	command *exec.Cmd
	log     string
	started time.Time
	exited  chan struct{}
	// The mutex guards the fields below it. Terminated is the time of the first SIGTERM, killed
	// that of a SIGKILL, ended that of its exit.
	mutex      sync.Mutex
	terminated time.Time
	killed     time.Time
	ended      time.Time
	overran    bool
	err        error
	frozen     []span
}

// span is the time between two moments; until is zero if it lasts.
type span struct{ from, until time.Time }

func (span span) overlaps(from, until time.Time) bool {
	return span.from.Before(until) && (span.until.IsZero() || span.until.After(from))
}

// name returns the entry's name and the number of its process.
func (process *process) name() string { return fmt.Sprintf("%s#%d", process.entry, process.number) }

func (process *process) signal(signal syscall.Signal) { _ = process.command.Process.Signal(signal) }

func (process *process) wait() {
	err := process.command.Wait()
	process.mutex.Lock()
	process.ended, process.err = time.Now(), err
	process.mutex.Unlock()
	close(process.exited)
}

func (process *process) running() bool {
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// freeze stops the process for the duration.
func (process *process) freeze(duration time.Duration) {
	process.mutex.Lock()
	process.frozen = append(process.frozen, span{from: time.Now()})
	index := len(process.frozen) - 1
	process.mutex.Unlock()
	process.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	process.signal(syscall.SIGCONT)
	process.mutex.Lock()
	process.frozen[index].until = time.Now()
	process.mutex.Unlock()
}

// terminate sends SIGTERM, and SIGKILL if the process still runs after the grace period.
func (process *process) terminate(grace time.Duration) {
	process.mutex.Lock()
	again := !process.terminated.IsZero()
	if !again {
		process.terminated = time.Now()
	}
	process.mutex.Unlock()
	process.signal(syscall.SIGTERM)
	if again {
		return
	}
	select {
	case <-process.exited:
		return
	case <-time.After(grace):
	}
	process.mutex.Lock()
	process.overran = true
	process.mutex.Unlock()
	process.kill()
}

// kill sends SIGKILL and waits for the exit.
func (process *process) kill() {
	process.mutex.Lock()
	if process.killed.IsZero() {
		process.killed = time.Now()
	}
	process.mutex.Unlock()
	process.signal(syscall.SIGKILL)
	<-process.exited
}

// logged reports whether the process has logged the event.
func (process *process) logged(event string) bool {
	text, _ := os.ReadFile(process.log)
	return strings.Contains(string(text), "event="+event+" ")
}

// descriptors returns the number of the process's open files.
func (process *process) descriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.command.Process.Pid))
	return len(files)
}

// entry is a VM that runs one process at a time, at the same addresses.
type entry struct {
	name     string
	callers  string
	ready    string
	peer     string
	readyURL string
	// arguments are those of its process.
	arguments []string
	folder    string
	program   string
	journal   *journal
	mutex     sync.Mutex
	current   *process
	number    int
	// listed is set while the balancer opens connections to it.
	listed bool
	misses int
}

// noRaceSleep turns off the second for which the race detector delays an exit.
const noRaceSleep = "GORACE=atexit_sleep_ms=0"

// start starts a process. The one before must have ended.
func (entry *entry) start() (err error) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	entry.number++
	started := &process{entry: entry.name, number: entry.number, started: time.Now(), exited: make(chan struct{})}
	started.log = filepath.Join(entry.folder, fmt.Sprintf("%s-%d.log", entry.name, entry.number))
	output, err := os.Create(started.log)
	if err != nil {
		return err
	}
	defer output.Close()
	started.command = exec.Command(entry.program, entry.arguments...)
	started.command.Env = append(os.Environ(), "ENDIVEPOST_SECRET=a-shared-secret", "GOMAXPROCS=2", noRaceSleep)
	started.command.Stdout, started.command.Stderr = output, output
	started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := started.command.Start(); err != nil {
		return err
	}
	entry.current = started
	entry.journal.addProcess(started)
	go started.wait()
	return nil
}

func (entry *entry) process() *process {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.current
}

const probeTimeout = time.Second

// isReady sends one readiness probe.
func (entry *entry) isReady() bool {
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(entry.readyURL)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errAmbiguous = errors.New("the entry was restarted meanwhile")

// dial opens a connection to the entry's current process.
func (entry *entry) dial() (net.Conn, *process, error) {
	before := entry.process()
	conn, err := net.DialTimeout("tcp", entry.callers, probeTimeout)
	if err != nil {
		return nil, nil, err
	}
	if entry.process() != before {
		_ = conn.Close()
		return nil, nil, errAmbiguous
	}
	return conn, before, nil
}
