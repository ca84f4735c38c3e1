package verbs

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/entry"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/fifo"
	"endivepost/internal/policy/latebinding"
	"endivepost/internal/policy/leastload"
	"endivepost/internal/policy/order"
	"endivepost/internal/policy/placement"
	"endivepost/internal/policy/roundrobin"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/policy/twochoices"
	"endivepost/internal/wire/message"
)

const (
	defaultReservations      = 2
	defaultQueueCapacity     = 4096
	defaultSubsetSize        = 24
	defaultWatchersPerDomain = 2
	defaultListInterval      = time.Second
	defaultFloorWait         = 5 * time.Second
	defaultFloorEvery        = 10
)

// placements maps the values of --placement to policies.
var placements = map[string]func(reservations int) placement.Policy{
	"late-binding": func(reservations int) placement.Policy { return latebinding.New(reservations) },
	"round-robin":  func(int) placement.Policy { return roundrobin.New() },
	"least-load":   func(int) placement.Policy { return leastload.New() },
	"better-two":   func(int) placement.Policy { return twochoices.New() },
}

// orders maps the values of --order to queue policies.
var orders = map[string]func(floor tiered.Floor) order.Policy[message.RequestID]{
	"tiered": func(floor tiered.Floor) order.Policy[message.RequestID] { return tiered.New[message.RequestID](floor) },
	"strict": func(tiered.Floor) order.Policy[message.RequestID] {
		return tiered.New[message.RequestID](tiered.Floor{})
	},
	"fifo": func(tiered.Floor) order.Policy[message.RequestID] { return fifo.New[message.RequestID]() },
}

// shedModes maps the values of --shed to whether requests that would miss their
// target are shed.
var shedModes = map[string]bool{"late": true, "none": false}

// choose returns the choice with the name. The error lists the valid names.
func choose[V any](flag, name string, choices map[string]V) (V, error) {
	if chosen, ok := choices[name]; ok {
		return chosen, nil
	}
	names := make([]string, 0, len(choices))
	for known := range choices {
		names = append(names, known)
	}
	sort.Strings(names)
	var none V
	return none, fmt.Errorf("--%s: unknown value %q: choose one of %s", flag, name, strings.Join(names, ", "))
}

func orderFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("order", "order of queued requests: tiered, strict, fifo", "tiered"),
		durationFlag("floor-wait", "queueing time after which a class may get a freed slot before higher tiers", defaultFloorWait),
		numberFlag("floor-every", "number of freed slots of which at most one goes to such a class", defaultFloorEvery),
	}
}

func entryCommand() *cli.Command {
	flags := append(processFlags(),
		textFlag("domain", "failure domain of this VM", "default"),
		textFlag("listen", "listen address for callers", "127.0.0.1:8080"),
		textFlag("admin", "listen address for operators", "127.0.0.1:8081"),
		requiredFlag("platform", "base URL of the configuration service"),
		textFlag("placement", "placement policy: late-binding, better-two, least-load, round-robin", "late-binding"),
		numberFlag("reservations", "number of sidecars that queue a request with late-binding", defaultReservations),
		numberFlag("waiting-bound", "maximum number of requests queued at this entry", defaultQueueCapacity),
		textFlag("shed", "load shedding: late (requests that would miss their target while others wait), none", "late"),
		numberFlag("subset", "maximum number of sidecars of a class to connect to", defaultSubsetSize),
		numberFlag("watchers", "number of entries per failure domain that watch the configuration service", defaultWatchersPerDomain),
		durationFlag("list-every", "interval between reads of the list of VMs", defaultListInterval),
	)
	return &cli.Command{Flags: append(flags, orderFlags()...), Action: runEntry}
}

func runEntry(ctx *cli.Context) error {
	settings, err := entrySettings(ctx)
	if err != nil {
		return err
	}
	limitMemory(settings.MemoryBytes)
	observe := telemetry.New(ctx.App.ErrWriter, settings.Name, ctx.Float64("trace-share"))
	defer observe.Close()
	defer ignoreHangups(ctx.Context, observe.Log, settings.Name)()
	return entry.New(settings, observe).Run(ctx.Context)
}

func entrySettings(ctx *cli.Context) (settings entry.Settings, err error) {
	place, placeErr := choose("placement", ctx.String("placement"), placements)
	queue, queueErr := choose("order", ctx.String("order"), orders)
	shedLate, shedErr := choose("shed", ctx.String("shed"), shedModes)
	problems := errors.Join(checkProcessFlags(ctx), placeErr, queueErr, shedErr,
		checkAddress("listen", ctx.String("listen")),
		checkAddress("admin", ctx.String("admin")),
		checkPositive(ctx, "reservations", "waiting-bound", "subset", "watchers"),
	)
	if problems != nil {
		return entry.Settings{}, problems
	}
	return entry.Settings{
		Name:              ctx.String("name"),
		Domain:            ctx.String("domain"),
		Listen:            ctx.String("listen"),
		Admin:             ctx.String("admin"),
		Platform:          strings.TrimRight(ctx.String("platform"), "/"),
		Secret:            ctx.String("secret"),
		Boot:              newIncarnation(),
		Placement:         place(ctx.Int("reservations")),
		Queue:             queue(floorSettings(ctx)),
		QueueCapacity:     ctx.Int("waiting-bound"),
		ShedLate:          shedLate,
		SubsetSize:        ctx.Int("subset"),
		WatchersPerDomain: ctx.Int("watchers"),
		HeartbeatInterval: ctx.Duration("heartbeat"),
		HeartbeatTimeout:  ctx.Duration("silence"),
		ListInterval:      ctx.Duration("list-every"),
		DrainTimeout:      ctx.Duration("drain-timeout"),
		MemoryBytes:       guard.MiB(ctx.Int("memory-mb")),
		MaxDescriptors:    ctx.Int("max-fds"),
	}, nil
}

func floorSettings(ctx *cli.Context) tiered.Floor {
	return tiered.Floor{Wait: ctx.Duration("floor-wait"), Every: ctx.Int("floor-every")}
}

func checkPositive(ctx *cli.Context, flags ...string) error {
	var problems []error
	for _, flag := range flags {
		if ctx.Int(flag) < 1 {
			problems = append(problems, fmt.Errorf("--%s: must be at least 1, got %d", flag, ctx.Int(flag)))
		}
	}
	return errors.Join(problems...)
}
