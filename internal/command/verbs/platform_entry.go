package verbs

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/core/dispatch"
	"endivepost/internal/core/event"
	"endivepost/internal/node/direct"
	"endivepost/internal/node/logevent"
	"endivepost/internal/node/logqueue"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/retrywindow"
	"endivepost/platform"
)

const (
	// maxQueuedLogLines is the number of log lines that may wait for a slow reader.
	// Further lines are dropped.
	maxQueuedLogLines = 8192
	// gcPercent is the garbage collector's GOGC value. It is above the default of 100
	// since an entry uses little of its VM's memory and shares its processor.
	gcPercent = 250
	// logFlushTimeout limits the wait for queued log lines at the end of the process.
	logFlushTimeout = 200 * time.Millisecond
)

func platformEntryCommand() *cli.Command {
	settings := requiredFlag("settings", "path of the platform's settings file (TOML)")
	settings.EnvVars = append(settings.EnvVars, platform.SettingsVariable)
	return &cli.Command{
		Flags: []cli.Flag{
			settings,
			textFlag("secret", "shared secret that authenticates entries to each other", ""),
			numberFlag("metrics-port", "port of the metrics endpoint on the IP of the address for callers, 0 for none", 0),
			floatFlag("trace-share", "share of requests to trace, 0 to 1", 0),
		},
		Action: runPlatformEntry,
	}
}

func runPlatformEntry(ctx *cli.Context) error {
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	read, err := platform.ReadSettings(ctx.String("settings"))
	if err != nil {
		return err
	}
	metrics, err := metricsAddress(read, ctx.Int("metrics-port"))
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	limitMemory(read.MemoryBytes)
	lines := logqueue.New(os.Stdout, maxQueuedLogLines)
	defer lines.Close(logFlushTimeout)
	observe := telemetry.New(lines, read.Name, ctx.Float64("trace-share"))
	defer observe.Close()
	entry := direct.New(direct.Settings{
		Name:           read.Name,
		Domain:         read.Domain,
		CallerAddress:  read.CallerAddress,
		ReadyAddress:   read.ReadyAddress,
		ReadyPath:      platform.ReadyPath,
		PeerAddress:    read.PeerAddress,
		MetricsAddress: metrics,
		Peers:          read.Peers,
		Secret:         ctx.String("secret"),
		Boot:           newIncarnation(),
		Dialect:        platform.Dialect{},
		Retries:        retrywindow.Settings{Ratio: read.RetryRatio, Slack: read.RetrySlack, Span: read.RetryWindow},
		MemoryBytes:    read.MemoryBytes,
		MaxDescriptors: read.MaxDescriptors,
		Grace:          read.Grace,
		ListExpiry:     read.ListExpiry,
		Cold:           dispatch.ColdBounds{Ratio: read.ColdRatio, Slack: read.ColdSlack},
		DroppedLines:   lines.Dropped,
		WatchStore: func(watchCtx context.Context, asked <-chan event.ReadUpstreamChanges, post func(event.Input)) {
			platform.NewWatcher(read.StoreAddress, observe.Log, post).Run(watchCtx, asked)
		},
	}, observe)
	go reloadOnSignal(ctx, sighups, observe, entry)
	return entry.Run(ctx.Context)
}

// reloadOnSignal reads the settings file again on SIGHUP and applies its peers, the
// only setting that can change while an entry runs. An invalid file is logged and
// changes nothing.
func reloadOnSignal(ctx *cli.Context, sighups <-chan os.Signal, observe *telemetry.Telemetry, entry *direct.Entry) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		}
		read, err := platform.ReadSettings(ctx.String("settings"))
		observe.Metrics.Tagged(map[string]string{"result": reloadResult(err)}).Counter("reloads").Inc(1)
		if err != nil {
			observe.Log.WithField("event", string(logevent.ReloadFailed)).WithError(err).Error()
			continue
		}
		observe.Log.WithField("event", string(logevent.Reloaded)).WithField("peers", len(read.Peers)).Info()
		entry.AddPeers(read.Peers)
	}
}

func reloadResult(err error) string {
	if err != nil {
		return "failed"
	}
	return "read"
}

// metricsAddress returns the metrics endpoint's listen address, on the IP of the address
// for callers, or "" for port 0.
func metricsAddress(read platform.Settings, port int) (string, error) {
	if port == 0 {
		return "", nil
	}
	host, _, err := net.SplitHostPort(read.CallerAddress)
	if err != nil {
		return "", fmt.Errorf("listen.front: %w", err)
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), nil
}
