package verbs

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/timeline"
)

// standardInput is the name of a log that is read from standard input.
const standardInput = "-"

// explainRequest tells what became of one request, from the logs of entries.
func explainRequest(ctx *cli.Context, request string, logs []string) error {
	var lines []timeline.Line
	for _, name := range logs {
		read, err := readLog(ctx, name, request)
		if err != nil {
			return fmt.Errorf("explain: %s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	told := timeline.Describe(lines, request)
	if len(told) == 0 {
		return fmt.Errorf("explain: no line names request %q: give the logs of all entries, or it never arrived", request)
	}
	for _, line := range told {
		if _, err := fmt.Fprintln(ctx.App.Writer, line); err != nil {
			return err
		}
	}
	return nil
}

func readLog(ctx *cli.Context, name, request string) (lines []timeline.Line, err error) {
	if name == standardInput {
		return timeline.Read(ctx.App.Reader, request)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return timeline.Read(io.Reader(file), request)
}
