// Package verbs is the command line: a table of all verbs, and Run.
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

// verb is one row of the table. Build makes its parser; Example is shown by
// --help and run by the tests.
type verb struct {
	name    string
	usage   string
	example string
	build   func() *cli.Command
}

// table lists every verb, in the order in which help shows them.
var table = []verb{
	{"entry", "serve callers on an entry VM", "endivepost entry --name entry-1 --platform http://10.0.0.2:7000", entryCommand},
	{"sidecar", "serve one upstream in the slot beside it", "endivepost sidecar --name runner-1 --upstream 127.0.0.1:8000", sidecarCommand},
	{"platform-entry", "serve callers on an entry VM of the users' platform", "endivepost platform-entry --settings local.toml", platformEntryCommand},
	{"check", "check a class document or a settings file before it is used", "endivepost check classes.json", checkCommand},
	{"attainment", "show how far each class meets its target", "endivepost attainment --platform http://10.0.0.2:7000", attainmentCommand},
	{"status", "show the processes and what each has in force", "endivepost status --platform http://10.0.0.2:7000", statusCommand},
	{"explain", "say in plain words why a class misses its target", "endivepost explain guide --platform http://10.0.0.2:7000", explainCommand},
	{"load", "send a load from a scenario and report on it", "endivepost load --scenario burst.json --entries 127.0.0.1:8080", loadCommand},
	{"capacity", "measure what rows, messages and connections cost", "endivepost capacity", capacityCommand},
	{"stand-in", "run a small stand-in of an outside system", "endivepost stand-in engine --listen 127.0.0.1:8000", standInCommand},
	{"help", "show help on a verb or a topic", "endivepost help topics", helpCommand},
}

// Exit codes of Run.
const (
	exitOK    = 0
	exitError = 1
)

// Run carries out a command line and returns the exit code. Results go to
// stdout, logs and errors to stderr.
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
	if err := app.RunContext(ctx, operandLast(arguments)); err != nil {
		_, _ = fmt.Fprintf(stderr, "endivepost: %v\n", err)
		return exitError
	}
	return exitOK
}

// operandLast lets an operand stand right behind its verb, before the flags,
// where the parser would end the flags.
func operandLast(arguments []string) []string {
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
