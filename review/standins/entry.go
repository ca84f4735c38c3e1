package main

import (
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

// Entry is a machine with the project's own program, started as deploy/system.toml says.
type Entry struct {
	Name     string
	Front    string
	Ready    string
	Control  string
	metrics  string
	settings string
	record   *Record
	output   *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

func freeAddress() string {
	listener := listen("127.0.0.1:0")
	defer listener.Close()
	return listener.Addr().String()
}

// NewEntries prepares machines of one fleet, each with its settings file.
func NewEntries(folder string, record *Record, store *Store, names ...string) []*Entry {
	var entries []*Entry
	for _, name := range names {
		entries = append(entries, &Entry{Name: name, Front: freeAddress(), Ready: freeAddress(), Control: freeAddress(), metrics: freeAddress(), record: record})
	}
	var seeds []string
	for _, entry := range entries[:min(3, len(entries))] {
		seeds = append(seeds, fmt.Sprintf("%q", entry.Control))
	}
	for i, entry := range entries {
		zone := fmt.Sprintf("zone-%c", 'a'+i)
		text := fmt.Sprintf(settingsText, entry.Name, zone, strings.Join(seeds, ","), entry.Front, entry.Ready, entry.Control, store.Address)
		entry.settings = filepath.Join(folder, entry.Name+".toml")
		if err := os.WriteFile(entry.settings, []byte(text), 0o600); err != nil {
			fail("settings: %v", err)
		}
		output, err := os.Create(filepath.Join(folder, entry.Name+".log"))
		if err != nil {
			fail("log: %v", err)
		}
		entry.output = output
	}
	return entries
}

// maxDescriptors is how many descriptors a process may have, 0 for no limit. The platform gives
// a front machine 4,100.
var maxDescriptors int

const settingsText = `node_name = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = %q
region = "one"
seed_nodes = [%s]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.304
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recovery_s = 12
pass_ms = 120
[platform]
address = %q
form = "read"
reads_per_s = 2000
history_s = 20
`

// Start starts the program.
func (entry *Entry) Start() {
	_, port, _ := net.SplitHostPort(entry.metrics)
	command := exec.Command("target/endivepost", "platform-entry", "--metrics-port", port)
	if maxDescriptors > 0 {
		command = exec.Command("bash", "-c", fmt.Sprintf("ulimit -n %d; exec target/endivepost platform-entry --metrics-port %s", maxDescriptors, port))
	}
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEPOST_NODE_FILE=" + entry.settings, "ENDIVEPOST_SECRET=entries-of-one-fleet"}
	command.Stdout, command.Stderr = entry.output, entry.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fail("start: %v", err)
	}
	done := make(chan struct{})
	entry.mutex.Lock()
	entry.command, entry.done = command, done
	entry.mutex.Unlock()
	entry.record.Add("machine %s starts, process %d", entry.Name, command.Process.Pid)
	go func() {
		err := command.Wait()
		entry.record.Add("machine %s: process %d ended: %v", entry.Name, command.Process.Pid, err)
		close(done)
	}()
}

// Pid returns the ID of the process.
func (entry *Entry) Pid() int {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.command.Process.Pid
}

// Signal sends the process a signal.
func (entry *Entry) Signal(signal syscall.Signal) {
	entry.record.Add("machine %s gets signal %v", entry.Name, signal)
	_ = syscall.Kill(entry.Pid(), signal)
}

// Kill kills the process and waits for its end.
func (entry *Entry) Kill() {
	entry.mutex.Lock()
	command, done := entry.command, entry.done
	entry.mutex.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Kill()
	<-done
}

// AwaitReady waits until the readiness answer is 200.
func (entry *Entry) AwaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + entry.Ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
