package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Entry is a process of the project, started as the deploy file says.
type Entry struct {
	Name     string
	Front    string
	Ready    string
	Control  string
	Store    string
	MemoryMB int
	MaxFDs   int
	Grace    int
	Seeds    []string
	Zone     string
	folder   string
	command  *exec.Cmd
	exited   chan struct{}
}

const settingsText = `node_name = "%s"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "%s"
zone = "%s"
region = "region"
port_range = [7340,7355]
seed_nodes = ["%s"]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[listen]
front = "%s"
ready = "%s"
control = "%s"
[limits]
cpu_share = 0.304
cpu_cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = %d
config_apply_ms = 2000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recovery_s = 12
pass_ms = 120
[platform]
address = "%s"
form = "read"
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`

// Start writes the settings file and starts the process. The log goes to a file in the folder.
func (entry *Entry) Start() {
	host, _, _ := net.SplitHostPort(entry.Front)
	path := filepath.Join(entry.folder, entry.Name+".toml")
	settings := fmt.Sprintf(settingsText, entry.Name, host, entry.Zone, strings.Join(entry.Seeds, `","`), entry.Front, entry.Ready, entry.Control,
		entry.MemoryMB, entry.MaxFDs, entry.Grace, entry.Store)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		cannotRun("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(entry.folder, entry.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer log.Close()
	command := exec.Command("target/endivepost", "platform-entry", "--metrics-port", "9464")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEPOST_NODE_FILE=" + path, "ENDIVEPOST_SECRET=entries-of-one-fleet",
	}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("%v", err)
	}
	entry.command, entry.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(entry.exited)
}

// Kill ends the process and waits for its end.
func (entry *Entry) Kill() {
	_ = entry.command.Process.Kill()
	<-entry.exited
}

// Running returns whether the process has not ended.
func (entry *Entry) Running() bool {
	select {
	case <-entry.exited:
		return false
	default:
		return true
	}
}

// AwaitReady waits until the process says that it is ready.
func (entry *Entry) AwaitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if entry.IsReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("entry %s is not ready", entry.Name)
}

// IsReady asks the process once.
func (entry *Entry) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + entry.Ready + "/api/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
