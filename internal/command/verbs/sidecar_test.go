package verbs

import (
	"testing"

	"github.com/urfave/cli/v2"

	"endivepost/internal/node/sidecar"
)

// TestSilenceIsNotLimitedByDefault guards against a sidecar that ends the responses of an
// upstream that is paused, though nobody has set a limit.
func TestSilenceIsNotLimitedByDefault(t *testing.T) {
	var settings sidecar.Settings
	command := sidecarCommand()
	command.Name = "sidecar"
	command.Action = func(ctx *cli.Context) (err error) {
		settings, err = sidecarSettings(ctx)
		return err
	}
	app := &cli.App{Commands: []*cli.Command{command}}
	if err := app.Run([]string{"endivepost", "sidecar", "--name", "runner-1", "--secret", "a-shared-secret", "--upstream", "127.0.0.1:8000"}); err != nil {
		t.Fatal(err)
	}
	if settings.FirstByteTimeout != 0 || settings.StallTimeout != 0 {
		t.Errorf("got a limit of %v to the first byte and of %v between bytes, want none", settings.FirstByteTimeout, settings.StallTimeout)
	}
}
