// Package verbs implements the command line: the table of verbs (subcommands) and
// Run, which parses the arguments and runs one of them.
package verbs

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v2"
)

// verb is one verb of the command line. Build returns its flags and action; example
// is shown by --help.
type verb struct {
	name    string
	usage   string
	example string
	build   func() *cli.Command
}

// table lists every verb, in the order in which help shows them.
var table = []verb{
	{"entry", "serve callers on an entry VM", "endivepost entry --name entry-1 --platform http://10.0.0.2:7000", entryCommand},
	{"sidecar", "serve one upstream from a process beside it", "endivepost sidecar --name runner-1 --upstream 127.0.0.1:8000", sidecarCommand},
	{"platform-entry", "serve callers on an entry VM of the users' platform", "endivepost platform-entry --settings local.toml", platformEntryCommand},
	{"check", "validate a class document or a settings file", "endivepost check classes.json", checkCommand},
	{"attainment", "show the share of requests of each class that met its target", "endivepost attainment --platform http://10.0.0.2:7000", attainmentCommand},
	{"status", "show the state and configuration version of each process", "endivepost status --platform http://10.0.0.2:7000", statusCommand},
	{"explain", "explain why a class missed its target, or a request's outcome", "endivepost explain guide --platform http://10.0.0.2:7000", explainCommand},
	{"load", "generate the load of a scenario and report the results", "endivepost load --scenario burst.json --entries 127.0.0.1:8080", loadCommand},
	{"capacity", "measure the cost of rows, messages and connections", "endivepost capacity", capacityCommand},
	{"stand-in", "run a stand-in for an external system, for tests and demos", "endivepost stand-in engine --listen 127.0.0.1:8000", standInCommand},
	{"help", "show help for a verb or a topic", "endivepost help topics", helpCommand},
}

// Exit codes of Run.
const (
	exitOK    = 0
	exitError = 1
)

// Run runs a command line and returns the exit code. Results go to stdout, logs and
// errors to stderr.
func Run(arguments []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	app := &cli.App{
		Name:            "endivepost",
		Usage:           "routes language-model traffic with service levels and priorities",
		Writer:          stdout,
		ErrWriter:       stderr,
		HideHelpCommand: true,
		ExitErrHandler:  func(*cli.Context, error) {},
		Commands:        commands(),
	}
	if err := app.RunContext(ctx, moveOperandLast(arguments)); err != nil {
		_, _ = fmt.Fprintf(stderr, "endivepost: %v\n", err)
		return exitError
	}
	return exitOK
}

// moveOperandLast moves an operand that directly follows the verb to the end of the
// command line, since the parser stops parsing flags at the first operand. The word
// after stand-in is a subcommand and stays.
func moveOperandLast(arguments []string) []string {
	const operand = 2
	if len(arguments) <= operand+1 || strings.HasPrefix(arguments[operand], "-") || arguments[1] == "stand-in" {
		return arguments
	}
	moved := append([]string{}, arguments[:operand]...)
	moved = append(moved, arguments[operand+1:]...)
	return append(moved, arguments[operand])
}

func commands() []*cli.Command {
	var built []*cli.Command
	for _, verb := range table {
		command := verb.build()
		command.Name = verb.name
		command.Usage = verb.usage
		command.Description = "Example:\n" + verb.example
		built = append(built, command)
	}
	return built
}
