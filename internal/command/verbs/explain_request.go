package verbs

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/timeline"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// explainRequest prints the timeline of one request from the logs of entries.
func explainRequest(ctx *cli.Context, request string, logs []string) error {
	var lines []timeline.Line
	for _, name := range logs {
		read, err := readLog(ctx, name, request)
		if err != nil {
			return fmt.Errorf("explain: %s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	described := timeline.Describe(lines, request)
	if len(described) == 0 {
		return fmt.Errorf("explain: no log line names request %q: give the logs of all entries; if none names it, it did not arrive", request)
	}
	for _, line := range described {
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
