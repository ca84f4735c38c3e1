package verbs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v2"

	"endivepost/internal/core/event"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/direct"
	"endivepost/internal/node/entry"
	"endivepost/internal/node/platform"
)

const (
	askTimeout = 3 * time.Second
	tabPadding = 2
	percent    = 100
)

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("platform", "base URL of the configuration service", ""),
		textFlag("entry", "metrics address of any entry that has no published list; it names the others", ""),
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// entriesOf returns the entries by the flags: those of the published list, or
// the one that is named and those that it hears from.
func entriesOf(ctx *cli.Context) ([]event.Member, error) {
	if first := ctx.String("entry"); first != "" {
		return heardBy(ctx.Context, first)
	}
	if ctx.String("platform") == "" {
		return nil, errors.New("give --platform, the base URL of the configuration service, or --entry, the metrics address of one entry")
	}
	return listed(ctx.Context, ctx.String("platform"))
}

// heardBy returns the entry at the address and the others that it hears from.
// All serve their metrics at the same port.
func heardBy(ctx context.Context, address string) ([]event.Member, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("--entry: %w", err)
	}
	var status direct.Status
	if err := ask(ctx, address, "/status", &status); err != nil {
		return nil, err
	}
	entries := []event.Member{{Name: address, Address: address}}
	for _, peer := range status.Peers {
		host, _, err := net.SplitHostPort(peer)
		if err != nil {
			return nil, fmt.Errorf("status of %s: %w", address, err)
		}
		entries = append(entries, event.Member{Name: host, Address: net.JoinHostPort(host, port)})
	}
	return entries, nil
}

// listed returns the entries of the published list.
func listed(ctx context.Context, base string) ([]event.Member, error) {
	members, err := platform.New(base).Members(ctx)
	if err != nil {
		return nil, err
	}
	var entries []event.Member
	for _, member := range members {
		if member.Role == "entry" {
			entries = append(entries, member)
		}
	}
	if len(entries) == 0 {
		return nil, errors.New("the published list of VMs has no entry")
	}
	return entries, nil
}

// ask reads JSON from an operator's page of a process.
func ask(ctx context.Context, address, path string, into any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("ask %s: %w", address, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// gather asks all entries and sums up their rows. Entries that do not answer
// are named on the error stream: the sum is then partial.
func gather(ctx *cli.Context) ([]attainment.Row, error) {
	entries, err := entriesOf(ctx)
	if err != nil {
		return nil, err
	}
	var boards [][]attainment.Row
	for _, member := range entries {
		var rows []attainment.Row
		if err := ask(ctx.Context, member.Address, "/attainment", &rows); err != nil {
			_, _ = fmt.Fprintf(ctx.App.ErrWriter, "partial: %v\n", err)
			continue
		}
		boards = append(boards, rows)
	}
	if len(boards) == 0 {
		return nil, errors.New("no entry answered")
	}
	return attainment.Sum(boards...), nil
}

func attainmentCommand() *cli.Command {
	return &cli.Command{Flags: operatorFlags(), Action: func(ctx *cli.Context) error {
		rows, err := gather(ctx)
		if err != nil {
			return err
		}
		if ctx.Bool("json") {
			return json.NewEncoder(ctx.App.Writer).Encode(rows)
		}
		return writeAttainment(ctx.App.Writer, rows)
	}}
}

func writeAttainment(writer io.Writer, rows []attainment.Row) error {
	table := tabwriter.NewWriter(writer, 0, 0, tabPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, "CLASS\tTIER\tTARGET\tREQUESTS\tATTAINED\tGOODPUT\tWASTED\tREFUSED")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%s\t%d tokens\t%s\t%s\n", row.Class, row.Tier, row.Target, row.Requests,
			share(row.Met, row.Requests), row.GoodTokens, share(row.Wasted, row.Tokens+row.Wasted), counts(row.Refusals))
	}
	return table.Flush()
}

func share(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", percent*float64(part)/float64(whole))
}

func counts(byReason map[string]int) string {
	if len(byReason) == 0 {
		return "none"
	}
	reasons := make([]string, 0, len(byReason))
	for reason := range byReason {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	text := ""
	for _, reason := range reasons {
		text += fmt.Sprintf("%s=%d ", reason, byReason[reason])
	}
	return text
}

func statusCommand() *cli.Command {
	return &cli.Command{Flags: operatorFlags(), Action: func(ctx *cli.Context) error {
		entries, err := entriesOf(ctx)
		if err != nil {
			return err
		}
		statuses := make([]entry.Status, len(entries))
		for i, member := range entries {
			statuses[i].Name = member.Name
			if err := ask(ctx.Context, member.Address, "/status", &statuses[i]); err != nil {
				_, _ = fmt.Fprintf(ctx.App.ErrWriter, "partial: %v\n", err)
			}
		}
		if ctx.Bool("json") {
			return json.NewEncoder(ctx.App.Writer).Encode(statuses)
		}
		return writeStatus(ctx.App.Writer, statuses)
	}}
}

func writeStatus(writer io.Writer, statuses []entry.Status) error {
	table := tabwriter.NewWriter(writer, 0, 0, tabPadding, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENTRY\tSIDECAR\tDOMAIN\tSTATE\tCONFIG\tRUNNING\tLIMIT\tQUEUED")
	for _, status := range statuses {
		state := "ready"
		if !status.Ready {
			state = "not-ready"
		}
		if status.Draining {
			state = "draining"
		}
		_, _ = fmt.Fprintf(table, "%s\t\t\t%s\t%d\t%d\t\t\n", status.Name, state, status.ConfigVersion, status.InProgress)
		for _, peer := range status.Sidecars {
			_, _ = fmt.Fprintf(table, "\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", peer.Name, peer.Domain, peer.State, peer.ConfigVersion,
				peer.Running, peer.Limit, peer.Queued)
		}
	}
	return table.Flush()
}

func explainCommand() *cli.Command {
	flags := append(operatorFlags(), &cli.StringSliceFlag{Name: "log", Usage: "log file of an entry, - for standard input: explain one request from it"})
	return &cli.Command{ArgsUsage: "CLASS or REQUEST", Flags: flags, Action: func(ctx *cli.Context) error {
		name := ctx.Args().First()
		if name == "" {
			return errors.New("explain: name a class, or a request with --log")
		}
		if logs := ctx.StringSlice("log"); len(logs) > 0 {
			return explainRequest(ctx, name, logs)
		}
		rows, err := gather(ctx)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if row.Class == name {
				_, err := fmt.Fprint(ctx.App.Writer, explain(row))
				return err
			}
		}
		return fmt.Errorf("explain: no requests of class %q since the entries started", name)
	}}
}

// reasonTexts say in plain words what an operator can make of a reason.
var reasonTexts = map[string]string{
	"queue-full":      "the queues were full: demand exceeded capacity, and higher tiers came first",
	"deadline-passed": "no upstream had a free slot before give-up-after: demand exceeded capacity",
	"no-upstream":     "no upstream of its model or service was reachable: see 'endivepost status'",
	"upstream-down":   "upstreams crashed or refused while running it",
	"lost":            "the connection to the upstream's VM was lost while it ran",
	"key-unprovable":  "its key came too soon after the upstream's VM was replaced: callers should send version 7 UUIDs",
	"key-conflict":    "callers used one key for two different bodies",
	"suspect":         "these requests crashed the upstreams that ran them",
	"cancelled":       "callers hung up before the answer",
	"draining":        "entries were shutting down",
}

func explain(row attainment.Row) string {
	text := fmt.Sprintf("%s (tier %d, target %s): %s of %d requests met the target.\n",
		row.Class, row.Tier, row.Target, share(row.Met, row.Requests), row.Requests)
	if row.Late > 0 {
		text += fmt.Sprintf("- %d were answered whole but late: upstreams were slow or busy with higher tiers.\n", row.Late)
	}
	reasons := make([]string, 0, len(row.Refusals))
	for reason := range row.Refusals {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		words, ok := reasonTexts[reason]
		if !ok {
			words = reason
		}
		text += fmt.Sprintf("- %d had no whole answer: %s.\n", row.Refusals[reason], words)
	}
	if row.Met == row.Requests {
		text += "- nothing is missing.\n"
	}
	return text
}
