package verbs

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/guard"
)

const (
	defaultHeartbeatInterval = time.Second
	defaultHeartbeatTimeout  = 3500 * time.Millisecond
	defaultDrainTimeout      = 2 * time.Minute
	// minTimeoutIntervals is the minimum heartbeat timeout in heartbeat intervals.
	minTimeoutIntervals = 2
)

// envVars returns the environment variables of a flag: ENDIVEPOST_ and its name in
// capitals.
func envVars(flag string) []string {
	return []string{"ENDIVEPOST_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))}
}

func textFlag(name, usage, value string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: value, EnvVars: envVars(name)}
}

func requiredFlag(name, usage string) *cli.StringFlag {
	return &cli.StringFlag{Name: name, Usage: usage, Required: true, EnvVars: envVars(name)}
}

func durationFlag(name, usage string, value time.Duration) *cli.DurationFlag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: value, EnvVars: envVars(name)}
}

func numberFlag(name, usage string, value int) *cli.IntFlag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: value, EnvVars: envVars(name)}
}

func floatFlag(name, usage string, value float64) *cli.Float64Flag {
	return &cli.Float64Flag{Name: name, Usage: usage, Value: value, EnvVars: envVars(name)}
}

// processFlags returns the flags common to entry and sidecar.
func processFlags() []cli.Flag {
	return []cli.Flag{
		requiredFlag("name", "name of this VM in the published list"),
		requiredFlag("secret", "shared secret that authenticates entries and sidecars to each other"),
		durationFlag("heartbeat", "heartbeat interval on a connection", defaultHeartbeatInterval),
		durationFlag("silence", "heartbeat timeout, after which a connection is replaced", defaultHeartbeatTimeout),
		durationFlag("drain-timeout", "maximum wait for requests in progress after SIGTERM", defaultDrainTimeout),
		floatFlag("trace-share", "share of requests to trace, 0 to 1", 1),
		numberFlag("memory-mb", "memory of this VM in MiB, 0 for no limit", 0),
		numberFlag("max-fds", "number of files and connections that the process may have open, 0 for no limit", 0),
	}
}

// checkProcessFlags validates the flags common to entry and sidecar. The error has
// all problems.
func checkProcessFlags(ctx *cli.Context) error {
	var problems []error
	if len(ctx.String("secret")) < 8 {
		problems = append(problems, errors.New("--secret: is shorter than 8 bytes: give a longer one"))
	}
	if ctx.Duration("heartbeat") <= 0 {
		problems = append(problems, fmt.Errorf("--heartbeat: must be above zero, got %v", ctx.Duration("heartbeat")))
	}
	if ctx.Duration("silence") < minTimeoutIntervals*ctx.Duration("heartbeat") {
		problems = append(problems, fmt.Errorf("--silence: must be at least %d heartbeats, got %v", minTimeoutIntervals, ctx.Duration("silence")))
	}
	if share := ctx.Float64("trace-share"); share < 0 || share > 1 {
		problems = append(problems, fmt.Errorf("--trace-share: must be from 0 to 1, got %v", share))
	}
	problems = append(problems, guard.Check("--memory-mb", ctx.Int("memory-mb"), "--max-fds", ctx.Int("max-fds")))
	return errors.Join(problems...)
}

// limitMemory sets the garbage collector's limit for the VM's memory.
func limitMemory(memoryBytes int64) {
	if limit := guard.MemoryLimit(memoryBytes); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}

func checkAddress(flag, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("--%s: %q is not a host:port address: give one such as 127.0.0.1:8080", flag, address)
	}
	return nil
}

// newIncarnation returns a random number that identifies this run of the process.
func newIncarnation() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return binary.BigEndian.Uint64(random[:])
}
