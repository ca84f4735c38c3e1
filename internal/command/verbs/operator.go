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

	"endivepost/internal/core/dispatch"
	"endivepost/internal/core/event"
	"endivepost/internal/node/attainment"
	"endivepost/internal/node/direct"
	"endivepost/internal/node/entry"
	"endivepost/internal/node/platform"
)

const (
	getTimeout = 3 * time.Second
	tabPadding = 2
	percent    = 100
)

func operatorFlags() []cli.Flag {
	return []cli.Flag{
		textFlag("platform", "base URL of the configuration service", ""),
		textFlag("entry", "metrics address of one entry, which lists its peers; use it without a published list", ""),
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// findEntries returns the entries to query: with --entry, that one and its peers,
// else those of the published list.
func findEntries(ctx *cli.Context) ([]event.Member, error) {
	if first := ctx.String("entry"); first != "" {
		return entriesKnownTo(ctx.Context, first)
	}
	if ctx.String("platform") == "" {
		return nil, errors.New("give --platform, the base URL of the configuration service, or --entry, the metrics address of one entry")
	}
	return listedEntries(ctx.Context, ctx.String("platform"))
}

// entriesKnownTo returns the entry at the metrics address and its peers. All entries
// serve their metrics on the same port.
func entriesKnownTo(ctx context.Context, address string) ([]event.Member, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("--entry: %w", err)
	}
	var status direct.Status
	if err := getJSON(ctx, address, "/status", &status); err != nil {
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

// listedEntries returns the entries in the published list of VMs.
func listedEntries(ctx context.Context, base string) ([]event.Member, error) {
	members, _, err := platform.New(base).Members(ctx)
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

// getJSON gets the path from a process's address for operators or metrics and decodes
// the JSON response into the value.
func getJSON(ctx context.Context, address, path string, into any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("get %s: %w", address, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
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

// collectAttainment queries all entries and sums up their rows. Entries that do not
// answer are reported on standard error, and the sum is partial.
func collectAttainment(ctx *cli.Context) ([]attainment.Row, error) {
	entries, err := findEntries(ctx)
	if err != nil {
		return nil, err
	}
	var tables [][]attainment.Row
	for _, member := range entries {
		var rows []attainment.Row
		if err := getJSON(ctx.Context, member.Address, "/attainment", &rows); err != nil {
			_, _ = fmt.Fprintf(ctx.App.ErrWriter, "partial: %v\n", err)
			continue
		}
		tables = append(tables, rows)
	}
	if len(tables) == 0 {
		return nil, errors.New("no entry answered")
	}
	return attainment.Sum(tables...), nil
}

func attainmentCommand() *cli.Command {
	return &cli.Command{Flags: operatorFlags(), Action: func(ctx *cli.Context) error {
		rows, err := collectAttainment(ctx)
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
			formatShare(row.Met, row.Requests), row.GoodTokens, formatShare(row.Wasted, row.Tokens+row.Wasted), formatCounts(row.Refusals))
	}
	return table.Flush()
}

func formatShare(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", percent*float64(part)/float64(whole))
}

func formatCounts(byReason map[string]int) string {
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

// processStatus is the status of an entry with or without sidecars.
type processStatus struct {
	entry.Status
	Evacuated []direct.EvacuatedDomain `json:"evacuated,omitempty"`
	Cold      []dispatch.ColdUpstream  `json:"cold,omitempty"`
	HeldBack  int                      `json:"held-back,omitempty"`
}

func statusCommand() *cli.Command {
	return &cli.Command{Flags: operatorFlags(), Action: func(ctx *cli.Context) error {
		entries, err := findEntries(ctx)
		if err != nil {
			return err
		}
		statuses := make([]processStatus, len(entries))
		for i, member := range entries {
			statuses[i].Name = member.Name
			if err := getJSON(ctx.Context, member.Address, "/status", &statuses[i]); err != nil {
				_, _ = fmt.Fprintf(ctx.App.ErrWriter, "partial: %v\n", err)
			}
		}
		if ctx.Bool("json") {
			return json.NewEncoder(ctx.App.Writer).Encode(statuses)
		}
		return writeStatus(ctx.App.Writer, statuses)
	}}
}

func writeStatus(writer io.Writer, statuses []processStatus) error {
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
		for _, domain := range status.Evacuated {
			_, _ = fmt.Fprintf(table, "\t\t%s\tevacuated %s ago\t\t%d\t\t\n", domain.Domain, domain.Since.Round(time.Second), domain.InFlight)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, status := range statuses {
		for _, upstream := range status.Cold {
			_, _ = fmt.Fprintf(writer, "%s: %s is cold for %s more\n", status.Name, upstream.Name, time.Duration(upstream.RemainingMs)*time.Millisecond)
		}
		if status.HeldBack > 0 {
			_, _ = fmt.Fprintf(writer, "%s: held back %d requests since its start, as all upstreams of their pool were cold\n", status.Name, status.HeldBack)
		}
	}
	return nil
}

func explainCommand() *cli.Command {
	flags := append(operatorFlags(), &cli.StringSliceFlag{Name: "log", Usage: "log file of an entry, - for standard input; explains one request from it"})
	return &cli.Command{ArgsUsage: "CLASS or REQUEST", Flags: flags, Action: func(ctx *cli.Context) error {
		name := ctx.Args().First()
		if name == "" {
			return errors.New("explain: nothing to explain: name a class, or a request with --log")
		}
		if logs := ctx.StringSlice("log"); len(logs) > 0 {
			return explainRequest(ctx, name, logs)
		}
		rows, err := collectAttainment(ctx)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if row.Class == name {
				_, err := fmt.Fprint(ctx.App.Writer, explainClass(row))
				return err
			}
		}
		return fmt.Errorf("explain: no requests of class %q since the entries started", name)
	}}
}

// reasonTexts maps the reasons of incomplete requests to explanations for operators,
// which explainClass prints after "N got no complete response: ".
var reasonTexts = map[string]string{
	"queue-full":      "the queues were full: demand exceeded capacity, and higher tiers have priority",
	"deadline-passed": "no upstream had a free slot before give-up-after: demand exceeded capacity",
	"no-build":        "the stream may go on only at the software version that began it, which is not known or not in service",
	"evacuated":       "all upstreams of its model or service are in evacuated domains: see 'endivepost status'",
	"no-upstream":     "no upstream of its model or service was reachable: see 'endivepost status'",
	"upstream-down":   "upstreams crashed or refused connections while running them",
	"lost":            "the connection to the upstream's VM was lost while they ran",
	"key-unprovable":  "their keys may be older than the start of the sidecar, which was replaced: callers should send version 7 UUIDs",
	"key-conflict":    "callers used the same key with different bodies",
	"suspect":         "upstreams crashed repeatedly while running them",
	"cancelled":       "callers disconnected before the end of the response",
	"draining":        "entries were shutting down",
	"too-large":       "the entry had no memory for more of the response: a smaller response, or more memory, helps",
}

func explainClass(row attainment.Row) string {
	text := fmt.Sprintf("%s (tier %d, target %s): %s of %d requests met the target.\n",
		row.Class, row.Tier, row.Target, formatShare(row.Met, row.Requests), row.Requests)
	if row.Late > 0 {
		text += fmt.Sprintf("- %d got a complete response after the target: upstreams were slow or busy with higher tiers.\n", row.Late)
	}
	reasons := make([]string, 0, len(row.Refusals))
	for reason := range row.Refusals {
		reasons = append(reasons, reason)
	}
	sort.Strings(reasons)
	for _, reason := range reasons {
		explanation, ok := reasonTexts[reason]
		if !ok {
			explanation = reason
		}
		text += fmt.Sprintf("- %d got no complete response: %s.\n", row.Refusals[reason], explanation)
	}
	if row.Met == row.Requests {
		text += "- all requests met the target.\n"
	}
	return text
}
