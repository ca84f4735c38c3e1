package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// program is started as the deploy file says: below the repository's root, with these words.
	program     = "target/endivepost"
	metricsPort = "9464"
	entryCount  = 4
	zoneCount   = 3
	// memoryMB and maxFDs are the limits of a small entry machine.
	memoryMB = 284
	maxFDs   = 4100
)

// entry is one process of the project on a machine of its own, which has a loopback address.
type entry struct {
	name    string
	front   string
	ready   string
	control string
	seeds   string
	dir     string
	log     *os.File
	command *exec.Cmd
	ended   atomic.Bool
	stopped atomic.Bool
	exited  chan struct{}
	peakKB  atomic.Int64
}

// startEntries starts the entries of a small deployment and waits until all are ready.
func (play *play) startEntries() error {
	var seeds []string
	for i := range entryCount {
		created, err := newEntry(i)
		if err != nil {
			return err
		}
		play.entries = append(play.entries, created)
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(created.control))
		}
	}
	for _, created := range play.entries {
		if err := created.start(play, strings.Join(seeds, ",")); err != nil {
			return err
		}
	}
	for _, created := range play.entries {
		if err := created.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	play.record.add("%d entries are ready", entryCount)
	return nil
}

// newEntry finds a loopback address for the entry on which its ports are free.
func newEntry(number int) (*entry, error) {
	for attempt := range 200 {
		host := fmt.Sprintf("127.%d.%d.%d", 11+os.Getpid()%200, 1+attempt, 10+number)
		metrics, err := net.Listen("tcp", net.JoinHostPort(host, metricsPort))
		if err != nil {
			continue
		}
		_ = metrics.Close()
		created := &entry{name: fmt.Sprintf("front-maz-%c-%d", 'a'+number%zoneCount, 1+number/zoneCount)}
		for _, address := range []*string{&created.front, &created.ready, &created.control} {
			if *address, err = freeAddress(host); err != nil {
				return nil, err
			}
		}
		return created, nil
	}
	return nil, errors.New("found no loopback address with free ports")
}

// freeAddress returns an address of the host whose port is free.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func (entry *entry) start(play *play, seeds string) (err error) {
	if entry.dir, err = os.MkdirTemp("", "review-3-"); err != nil {
		return err
	}
	if entry.log, err = os.Create(filepath.Join(entry.dir, "log")); err != nil {
		return err
	}
	entry.seeds = seeds
	settings := filepath.Join(entry.dir, "local.toml")
	if err := os.WriteFile(settings, []byte(entry.settings(play.store.address)), 0o600); err != nil {
		return err
	}
	entry.command = exec.Command(program, "platform-entry", "--metrics-port", metricsPort)
	entry.command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEPOST_SECRET=entries-of-one-fleet", "ENDIVEPOST_NODE_FILE=" + settings,
	}
	entry.command.Stdout, entry.command.Stderr = entry.log, entry.log
	if err := entry.command.Start(); err != nil {
		return err
	}
	entry.exited = make(chan struct{})
	go entry.await(play, entry.command, entry.exited)
	go entry.watchMemory(entry.command.Process.Pid, entry.exited)
	return nil
}

func (entry *entry) await(play *play, command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	if !entry.stopped.Load() {
		entry.ended.Store(true)
		play.record.say("%s ended by itself: %v", entry.name, err)
	}
	close(exited)
}

// watchMemory keeps the largest resident memory of the process.
func (entry *entry) watchMemory(pid int, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(100 * time.Millisecond):
			entry.peakKB.Store(max(entry.peakKB.Load(), readPeakKB(pid)))
		}
	}
}

func readPeakKB(pid int) int64 {
	file, err := os.Open(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "VmHWM:" {
			peak, _ := strconv.ParseInt(fields[1], 10, 64)
			return peak
		}
	}
	return 0
}

func (entry *entry) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + entry.ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %s", entry.name, limit)
}

// kill kills the process.
func (entry *entry) kill() {
	entry.stopped.Store(true)
	_ = entry.command.Process.Signal(syscall.SIGKILL)
	<-entry.exited
}

// stop kills the process and removes its files.
func (entry *entry) stop() {
	if entry.command == nil || entry.command.Process == nil {
		return
	}
	entry.kill()
	_ = entry.log.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(entry.dir)
	}
}

// zone returns the zone of the machine.
func (entry *entry) zone() string {
	return strings.Join(strings.Split(entry.name, "-")[1:3], "-")
}

func (entry *entry) settings(storeAddress string) string {
	host, _, _ := net.SplitHostPort(entry.front)
	return fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "mazowsze"
port_range = [7340,7355]
seed_nodes = [%s]
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
maz-a = "mazowsze"
maz-b = "mazowsze"
maz-c = "mazowsze"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.304
cpu_cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
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
strict_revoke = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 56
recovery_s = 12
pass_ms = 120
reuse_window_s = 10
[platform]
address = %q
form = "read"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, entry.name, host, entry.zone(), entry.seeds,
		entry.front, entry.ready, entry.control, memoryMB, maxFDs, storeAddress)
}
