package verbs

import (
	"fmt"
	"io"
	"sort"

	"github.com/urfave/cli/v2"
)

// topics are the pages of help that belong to no verb.
var topics = map[string]string{
	"classes": `A class states what a kind of work needs; endivepost sees to the rest.
  name            how callers name it in the Endivepost-Class header
  tier            1 is the highest; a higher tier goes first under pressure
  model, service  which upstreams serve it; exactly one of the two
  first-token     target until the first token, such as "900ms"
  between-tokens  target between tokens, for 95 in 100
  whole-answer    target until the end of the answer
  give-up-after   longest wait before a request is refused
  non-idempotent  true for work that must run at most once
Run 'endivepost check FILE' before you publish the document.
`,
	"outcomes": `Each answer carries the header (or trailer) Endivepost-Outcome:
  complete    the whole answer
  not-run     the request was not run; come back after Retry-After
  unknown     it may have run; it will not be run again
  failed      it ran, and the upstream answered with an error
  incomplete  the answer was cut off
Endivepost-Reason says why.
`,
	"settings": `Each flag can be given as an environment variable: --listen is
ENDIVEPOST_LISTEN. Processes share the secret ENDIVEPOST_SECRET.
`,
	"platform": `On the users' platform one entry runs on each entry VM:
  endivepost platform-entry            reads the file that ENDIVEPOST_NODE_FILE names
  endivepost check --platform FILE     checks such a file and starts nothing
  endivepost attainment --entry ADDR   asks one entry's metrics address and those it hears from
  endivepost explain ID --log FILE     tells what became of a request, from the entries' logs
SIGHUP reads the settings file again; SIGTERM drains within the grace.
`,
	"keys": `A non-idempotent request runs at most once. Give it an Idempotency-Key, and
send it again with the same key if the outcome is unknown: the kept answer is
replayed for as long as the document's repeat-window. A version 7 UUID is best:
its time proves that it is younger than a sidecar that was just replaced.
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
				return fmt.Errorf("no verb or topic %q: see 'endivepost help' and 'endivepost help topics'", name)
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
