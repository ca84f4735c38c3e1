package verbs

import (
	"fmt"
	"io"
	"sort"

	"github.com/urfave/cli/v2"
)

// topics maps the help topics that are not verbs to their text.
var topics = map[string]string{
	"classes": `A class states the priority and the latency targets of a kind of request.
  name            name of the class in the Endivepost-Class header
  tier            priority, 1 is the highest; under load, higher tiers go first
  model, service  upstreams that serve the class; exactly one of the two
  first-token     target for the time to the first token, such as "900ms"
  between-tokens  target for the time between tokens, for 95% of them
  whole-answer    target for the time to the end of the response
  give-up-after   maximum queueing time before a request is refused
  non-idempotent  true for requests that must run at most once
Run 'endivepost check FILE' before you publish the document.
`,
	"outcomes": `Each response has the header (or trailer) Endivepost-Outcome:
  complete    the response is complete
  not-run     the request was not run; retry it after Retry-After
  unknown     the request may have run and is not retried
  failed      the request ran, and the upstream answered with an error
  incomplete  the response is truncated
Endivepost-Reason gives the reason.
`,
	"settings": `Each flag can be given as an environment variable: --listen is
ENDIVEPOST_LISTEN. All processes need the same ENDIVEPOST_SECRET.
`,
	"platform": `On the users' platform one entry runs on each entry VM:
  endivepost platform-entry            starts an entry with the settings file in ENDIVEPOST_NODE_FILE
  endivepost check --platform FILE     checks a settings file without starting an entry
  endivepost attainment --entry ADDR   queries the entry at a metrics address and its peers
  endivepost explain ID --log FILE     prints what happened to a request, from the entries' logs
SIGHUP reloads the settings file; SIGTERM drains the entry within the grace period.
`,
	"keys": `A non-idempotent request runs at most once. Send it with an Idempotency-Key, and
retry it with the same key if the outcome is unknown: within the document's
repeat-window the stored response is replayed. Use version 7 UUIDs as keys: a
restarted sidecar has lost its stored responses. For one repeat-window it runs only
requests whose key has a timestamp after the restart: these cannot have run before.
`,
}

func helpCommand() *cli.Command {
	return &cli.Command{
		ArgsUsage: "[VERB or TOPIC]",
		Action: func(ctx *cli.Context) error {
			name := ctx.Args().First()
			if name == "" {
				return cli.ShowAppHelp(ctx)
			}
			if name == "topics" {
				return writeTopics(ctx.App.Writer)
			}
			if text, ok := topics[name]; ok {
				_, err := fmt.Fprint(ctx.App.Writer, text)
				return err
			}
			if ctx.App.Command(name) == nil {
				return fmt.Errorf("unknown verb or topic %q: see 'endivepost help' and 'endivepost help topics'", name)
			}
			return cli.ShowCommandHelp(ctx.Lineage()[1], name)
		},
	}
}

func writeTopics(writer io.Writer) error {
	names := make([]string, 0, len(topics))
	for name := range topics {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if _, err := fmt.Fprintf(writer, "endivepost help %s\n", name); err != nil {
			return err
		}
	}
	return nil
}
