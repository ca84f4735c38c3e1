package verbs

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/entry"
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
	defaultReservations = 2
	defaultWaitingBound = 4096
	defaultSubset       = 24
	defaultWatchers     = 2
	defaultListEvery    = time.Second
	defaultFloorWait    = 5 * time.Second
	defaultFloorEvery   = 10
)

// placements lists the placement policies by the name that the flag takes.
var placements = map[string]func(reservations int) placement.Policy{
	"late-binding": func(reservations int) placement.Policy { return latebinding.New(reservations) },
	"round-robin":  func(int) placement.Policy { return roundrobin.New() },
	"least-load":   func(int) placement.Policy { return leastload.New() },
	"better-two":   func(int) placement.Policy { return twochoices.New() },
}

// orders lists the order policies by the name that the flag takes.
var orders = map[string]func(floor tiered.Floor) order.Policy[message.RequestID]{
	"tiered": func(floor tiered.Floor) order.Policy[message.RequestID] { return tiered.New[message.RequestID](floor) },
	"strict": func(tiered.Floor) order.Policy[message.RequestID] {
		return tiered.New[message.RequestID](tiered.Floor{})
	},
	"fifo": func(tiered.Floor) order.Policy[message.RequestID] { return fifo.New[message.RequestID]() },
}

// sheddings lists the ways to shed by the name that the flag takes.
var sheddings = map[string]bool{"late": true, "none": false}

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
	return none, fmt.Errorf("--%s: no %q: choose one of %s", flag, name, strings.Join(names, ", "))
}

func orderFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("order", "order of waiting requests: tiered, strict, fifo", "tiered"),
		durationFlag("floor-wait", "wait after which a class gains a right to a freed slot", defaultFloorWait),
		numberFlag("floor-every", "of how many freed slots the floor may take one", defaultFloorEvery),
	}
}

func entryCommand() *cli.Command {
	flags := append(processFlags(),
		textFlag("domain", "failure domain of this VM", "default"),
		textFlag("listen", "address for callers", "127.0.0.1:8080"),
		textFlag("admin", "address for operators", "127.0.0.1:8081"),
		requiredFlag("platform", "base URL of the configuration service"),
		textFlag("placement", "placement of requests: late-binding, better-two, least-load, round-robin", "late-binding"),
		numberFlag("reservations", "reservations for each request when binding late", defaultReservations),
		numberFlag("waiting-bound", "most requests that wait here", defaultWaitingBound),
		textFlag("shed", "what to give up early: late (what would miss its target while others wait), none", "late"),
		numberFlag("subset", "most sidecars of a role to keep connections to", defaultSubset),
		numberFlag("watchers", "entries of a failure domain that watch the configuration service", defaultWatchers),
		durationFlag("list-every", "time between two reads of the list of VMs", defaultListEvery),
	)
	return &cli.Command{Flags: append(flags, orderFlags()...), Action: runEntry}
}

func runEntry(ctx *cli.Context) error {
	settings, err := entrySettings(ctx)
	if err != nil {
		return err
	}
	observe := telemetry.New(ctx.App.ErrWriter, settings.Name, ctx.Float64("trace-share"))
	defer observe.Close()
	return entry.New(settings, observe).Run(ctx.Context)
}

func entrySettings(ctx *cli.Context) (settings entry.Settings, err error) {
	place, placeErr := choose("placement", ctx.String("placement"), placements)
	queue, queueErr := choose("order", ctx.String("order"), orders)
	shedLate, shedErr := choose("shed", ctx.String("shed"), sheddings)
	faults := errors.Join(checkProcess(ctx), placeErr, queueErr, shedErr,
		checkAddress("listen", ctx.String("listen")),
		checkAddress("admin", ctx.String("admin")),
		checkPositive(ctx, "reservations", "waiting-bound", "subset", "watchers"),
	)
	if faults != nil {
		return entry.Settings{}, faults
	}
	return entry.Settings{
		Name:              ctx.String("name"),
		Domain:            ctx.String("domain"),
		Listen:            ctx.String("listen"),
		Admin:             ctx.String("admin"),
		Platform:          strings.TrimRight(ctx.String("platform"), "/"),
		Secret:            ctx.String("secret"),
		Boot:              newBoot(),
		Placement:         place(ctx.Int("reservations")),
		Queue:             queue(floorOf(ctx)),
		QueueCapacity:     ctx.Int("waiting-bound"),
		ShedLate:          shedLate,
		SubsetSize:        ctx.Int("subset"),
		WatchersPerDomain: ctx.Int("watchers"),
		HeartbeatInterval: ctx.Duration("heartbeat"),
		HeartbeatTimeout:  ctx.Duration("silence"),
		ListInterval:      ctx.Duration("list-every"),
		DrainTimeout:      ctx.Duration("drain-timeout"),
	}, nil
}

func floorOf(ctx *cli.Context) tiered.Floor {
	return tiered.Floor{Wait: ctx.Duration("floor-wait"), Every: ctx.Int("floor-every")}
}

func checkPositive(ctx *cli.Context, flags ...string) error {
	var faults []error
	for _, flag := range flags {
		if ctx.Int(flag) < 1 {
			faults = append(faults, fmt.Errorf("--%s: must be at least 1", flag))
		}
	}
	return errors.Join(faults...)
}
