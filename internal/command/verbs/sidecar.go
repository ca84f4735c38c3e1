package verbs

import (
	"errors"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/guard"
	"endivepost/internal/node/sidecar"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/aimd"
	"endivepost/internal/policy/fixed"
	"endivepost/internal/policy/limit"
)

const (
	defaultInitialLimit = 8
	defaultMaxLimit     = 256
	defaultMaxKeys      = 50_000
	defaultClockSkew    = 5 * time.Second
	limitWindow         = 500 * time.Millisecond
)

func sidecarCommand() *cli.Command {
	flags := append(processFlags(),
		textFlag("listen", "listen address for entries and operators", "127.0.0.1:9000"),
		requiredFlag("upstream", "address of the upstream on this VM"),
		numberFlag("fixed-limit", "fixed limit of concurrent requests; 0 adapts the limit to the latency", 0),
		numberFlag("key-bound", "maximum number of idempotency keys to store", defaultMaxKeys),
		durationFlag("clock-skew", "maximum clock error of callers that create version 7 UUIDs", defaultClockSkew),
		durationFlag("first-byte", "time without a first byte after which a response is cut off, 0 for never", 0),
		durationFlag("stall", "time without a further byte after which a response is cut off, 0 for never", 0),
	)
	return &cli.Command{Flags: append(flags, orderFlags()...), Action: runSidecar}
}

func runSidecar(ctx *cli.Context) error {
	settings, err := sidecarSettings(ctx)
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryBytes)
	observe := telemetry.New(ctx.App.ErrWriter, settings.Name, ctx.Float64("trace-share"))
	defer observe.Close()
	defer ignoreHangups(ctx.Context, observe.Log, settings.Name)()
	return sidecar.New(settings, observe).Run(ctx.Context)
}

func sidecarSettings(ctx *cli.Context) (settings sidecar.Settings, err error) {
	queue, queueErr := choose("order", ctx.String("order"), orders)
	problems := errors.Join(checkProcessFlags(ctx), queueErr,
		checkAddress("listen", ctx.String("listen")),
		checkAddress("upstream", ctx.String("upstream")),
		checkPositive(ctx, "key-bound"),
	)
	if problems != nil {
		return sidecar.Settings{}, problems
	}
	return sidecar.Settings{
		Name:              ctx.String("name"),
		Listen:            ctx.String("listen"),
		Upstream:          ctx.String("upstream"),
		Secret:            ctx.String("secret"),
		Boot:              newIncarnation(),
		Order:             queue(floorSettings(ctx)),
		Limit:             limitPolicy(ctx.Int("fixed-limit")),
		KeyCapacity:       ctx.Int("key-bound"),
		ClockSkew:         ctx.Duration("clock-skew"),
		HeartbeatInterval: ctx.Duration("heartbeat"),
		HeartbeatTimeout:  ctx.Duration("silence"),
		FirstByteTimeout:  ctx.Duration("first-byte"),
		StallTimeout:      ctx.Duration("stall"),
		DrainTimeout:      ctx.Duration("drain-timeout"),
		MemoryBytes:       guard.MiB(ctx.Int("memory-mb")),
		MaxDescriptors:    ctx.Int("max-fds"),
	}, nil
}

func limitPolicy(constant int) limit.Policy {
	if constant > 0 {
		return fixed.Limit(constant)
	}
	return aimd.New(aimd.Settings{Initial: defaultInitialLimit, Min: 1, Max: defaultMaxLimit, Window: limitWindow})
}
