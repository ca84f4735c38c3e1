package verbs

import (
	"errors"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/sidecar"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/aimd"
	"endivepost/internal/policy/fixed"
	"endivepost/internal/policy/limit"
)

const (
	defaultStartLimit = 8
	defaultMostLimit  = 256
	defaultKeyBound   = 50_000
	defaultClockSkew  = 5 * time.Second
	defaultFirstByte  = 2 * time.Minute
	defaultStall      = 20 * time.Second
	limitWindow       = 500 * time.Millisecond
)

func sidecarCommand() *cli.Command {
	flags := append(processFlags(),
		textFlag("listen", "address for entries and operators", "127.0.0.1:9000"),
		requiredFlag("upstream", "address of the upstream beside this process"),
		numberFlag("fixed-limit", "runs at once, if not learned; 0 learns it", 0),
		numberFlag("key-bound", "most keys of non-idempotent requests to remember", defaultKeyBound),
		durationFlag("clock-skew", "largest error of a caller's clock in a version 7 UUID", defaultClockSkew),
		durationFlag("first-byte", "longest wait for the upstream's first byte", defaultFirstByte),
		durationFlag("stall", "longest silence of the upstream in mid-answer", defaultStall),
	)
	return &cli.Command{Flags: append(flags, orderFlags()...), Action: runSidecar}
}

func runSidecar(ctx *cli.Context) error {
	settings, err := sidecarSettings(ctx)
	if err != nil {
		return err
	}
	observe := telemetry.New(ctx.App.ErrWriter, settings.Name, ctx.Float64("trace-share"))
	defer observe.Close()
	return sidecar.New(settings, observe).Run(ctx.Context)
}

func sidecarSettings(ctx *cli.Context) (settings sidecar.Settings, err error) {
	queue, queueErr := choose("order", ctx.String("order"), orders)
	faults := errors.Join(checkProcess(ctx), queueErr,
		checkAddress("listen", ctx.String("listen")),
		checkAddress("upstream", ctx.String("upstream")),
		checkPositive(ctx, "key-bound"),
	)
	if faults != nil {
		return sidecar.Settings{}, faults
	}
	return sidecar.Settings{
		Name:              ctx.String("name"),
		Listen:            ctx.String("listen"),
		Upstream:          ctx.String("upstream"),
		Secret:            ctx.String("secret"),
		Boot:              newBoot(),
		Order:             queue(floorOf(ctx)),
		Limit:             limitOf(ctx.Int("fixed-limit")),
		KeyCapacity:       ctx.Int("key-bound"),
		ClockSkew:         ctx.Duration("clock-skew"),
		HeartbeatInterval: ctx.Duration("heartbeat"),
		HeartbeatTimeout:  ctx.Duration("silence"),
		FirstByteTimeout:  ctx.Duration("first-byte"),
		StallTimeout:      ctx.Duration("stall"),
		DrainTimeout:      ctx.Duration("drain-timeout"),
	}, nil
}

func limitOf(constant int) limit.Policy {
	if constant > 0 {
		return fixed.Limit(constant)
	}
	return aimd.New(aimd.Settings{Initial: defaultStartLimit, Min: 1, Max: defaultMostLimit, Window: limitWindow})
}
