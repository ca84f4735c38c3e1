package verbs

import (
	"github.com/urfave/cli/v2"

	"endivepost/internal/load/capacity"
)

func capacityCommand() *cli.Command {
	return &cli.Command{Action: func(ctx *cli.Context) error {
		return capacity.New(ctx.App.Writer).Run()
	}}
}
