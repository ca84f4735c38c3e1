package verbs

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v2"

	"endivepost/internal/config/document"
	"endivepost/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "platform", Usage: "check a settings file of the users' platform"},
		},
		Action: func(ctx *cli.Context) error {
			file := ctx.Args().First()
			if file == "" {
				return errors.New("check: no file given: name the file to check")
			}
			if ctx.Bool("platform") {
				return checkSettings(ctx, file)
			}
			return checkDocument(ctx, file)
		},
	}
}

func checkDocument(ctx *cli.Context, file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	parsed, err := document.Parse(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	_, err = fmt.Fprintf(ctx.App.Writer, "%s: version %d is valid: %d classes, %d accounts, %d upstreams\n",
		file, parsed.Version, len(parsed.Classes), len(parsed.Accounts), len(parsed.Upstreams))
	return err
}

func checkSettings(ctx *cli.Context, file string) error {
	read, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	unused, err := platform.UnusedSettings(file)
	if err != nil {
		return err
	}
	if len(unused) > 0 {
		_, _ = fmt.Fprintf(ctx.App.Writer, "%s: not in force: %s\n", file, strings.Join(unused, ", "))
	}
	_, err = fmt.Fprintf(ctx.App.Writer, "%s: entry %q in failure domain %q, callers at %s, %d other entries known, store at %s\n",
		file, read.Name, read.Domain, read.CallerAddress, len(read.Peers), read.StoreAddress)
	return err
}
