package verbs

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v2"

	"endivepost/internal/load/runner"
	"endivepost/internal/load/scenario"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Flags: []cli.Flag{
			requiredFlag("scenario", "scenario file (JSON)"),
			requiredFlag("entries", "comma-separated addresses of entries"),
			textFlag("engines", "comma-separated addresses of engine stand-ins, to inject faults and count wasted tokens", ""),
			numberFlag("seed", "random seed of arrivals and prompts", 1),
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.BoolFlag{Name: "must-be-whole", Usage: "exit 1 unless every call got its complete, correct response"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx *cli.Context) error {
	raw, err := os.ReadFile(ctx.String("scenario"))
	if err != nil {
		return fmt.Errorf("--scenario: %w", err)
	}
	described, err := scenario.Parse(raw)
	if err != nil {
		return fmt.Errorf("%s: %w", ctx.String("scenario"), err)
	}
	settings := runner.Settings{Entries: strings.Split(ctx.String("entries"), ","), Seed: uint64(ctx.Int("seed"))}
	if engines := ctx.String("engines"); engines != "" {
		settings.Engines = strings.Split(engines, ",")
	}
	summary := runner.New(described, settings).Run(ctx.Context)
	if ctx.Bool("json") {
		err = json.NewEncoder(ctx.App.Writer).Encode(summary)
	} else {
		err = summary.Write(ctx.App.Writer)
	}
	if err == nil && ctx.Bool("must-be-whole") && !summary.AllComplete() {
		return errors.New("load: not every call got its complete, correct response")
	}
	return err
}
