package verbs

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/httpserver"
	"endivepost/internal/standin/engine"
	"endivepost/internal/standin/platform"
	"endivepost/internal/standin/service"
)

const (
	defaultCallsPerSecond = 2000
	defaultMaxBatch       = 16
	defaultKVTokens       = 65536
	defaultCachedPrefixes = 64
	defaultMedianTokens   = 40
	defaultSpread         = 0.5
	defaultMaxTokens      = 2000
)

func standInCommand() *cli.Command {
	listen := textFlag("listen", "listen address", "127.0.0.1:0")
	return &cli.Command{Subcommands: []*cli.Command{
		{
			Name: "platform", Usage: "the configuration service and the list of VMs", Action: runPlatform,
			Flags: []cli.Flag{
				listen,
				requiredFlag("config", "file with the class document"),
				requiredFlag("vms", "file with the list of VMs"),
				numberFlag("rate", "maximum calls per second of all readers together", defaultCallsPerSecond),
			},
		},
		{
			Name: "engine", Usage: "a model engine with continuous batching", Action: runEngine,
			Flags: []cli.Flag{
				listen,
				textFlag("model", "name of the model", "chat"),
				numberFlag("batch", "maximum number of sequences in a batch", defaultMaxBatch),
				numberFlag("kv-tokens", "capacity of the KV cache in tokens", defaultKVTokens),
				numberFlag("prefixes", "number of cached prompt prefixes", defaultCachedPrefixes),
				durationFlag("step-base", "duration of a step with one sequence", 10*time.Millisecond),
				durationFlag("step-each", "duration that each further sequence adds to a step", time.Millisecond),
				durationFlag("prefill-each", "duration that each prefill token adds to a step", 50*time.Microsecond),
				numberFlag("prefill-chunk", "maximum number of prefill tokens in a step", 128),
				durationFlag("report-lag", "interval between load reports", time.Second),
				floatFlag("median-tokens", "median length of a response in tokens", defaultMedianTokens),
				floatFlag("spread", "standard deviation of the logarithm of response lengths", defaultSpread),
				numberFlag("most-tokens", "maximum length of a response in tokens", defaultMaxTokens),
				floatFlag("speed", "factor by which the engine runs faster than real time", 1),
			},
		},
		{
			Name: "service", Usage: "a plain service that counts the runs of each idempotency key", Action: runService,
			Flags: []cli.Flag{listen, durationFlag("delay", "duration of a call", 20*time.Millisecond)},
		},
	}}
}

func runPlatform(ctx *cli.Context) error {
	config, err := os.ReadFile(ctx.String("config"))
	if err != nil {
		return fmt.Errorf("--config: %w", err)
	}
	vms, err := os.ReadFile(ctx.String("vms"))
	if err != nil {
		return fmt.Errorf("--vms: %w", err)
	}
	return serveUntilDone(ctx, platform.New(config, vms, ctx.Int("rate")).Handler())
}

func runEngine(ctx *cli.Context) error {
	if ctx.Float64("speed") <= 0 {
		return fmt.Errorf("--speed: must be above zero, got %v", ctx.Float64("speed"))
	}
	if err := checkPositive(ctx, "batch", "kv-tokens", "most-tokens", "prefill-chunk"); err != nil {
		return err
	}
	running := engine.New(engine.Settings{
		Model:          ctx.String("model"),
		MaxBatch:       ctx.Int("batch"),
		KVTokens:       ctx.Int("kv-tokens"),
		StepBase:       ctx.Duration("step-base"),
		StepEach:       ctx.Duration("step-each"),
		PrefillEach:    ctx.Duration("prefill-each"),
		PrefillChunk:   ctx.Int("prefill-chunk"),
		MedianTokens:   ctx.Float64("median-tokens"),
		Spread:         ctx.Float64("spread"),
		MaxTokens:      ctx.Int("most-tokens"),
		ReportInterval: ctx.Duration("report-lag"),
		CachedPrefixes: ctx.Int("prefixes"),
		Speed:          ctx.Float64("speed"),
	})
	go running.Run(ctx.Context)
	return serveUntilDone(ctx, running.Handler())
}

func runService(ctx *cli.Context) error {
	return serveUntilDone(ctx, service.New(ctx.Duration("delay")).Handler())
}

func serveUntilDone(ctx *cli.Context, handler http.Handler) error {
	server, err := httpserver.Listen(ctx.String("listen"), handler, func(err error) { _, _ = fmt.Fprintf(ctx.App.ErrWriter, "stand-in: %v\n", err) })
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(ctx.App.Writer, "listening on %s\n", server.Address())
	<-ctx.Done()
	return server.Close()
}
