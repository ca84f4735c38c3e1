package verbs

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
)

// ignoreHangups logs each SIGHUP until the context is done. Without a handler the signal
// would end the process and cut off the answers in progress. The returned function restores
// the default.
func ignoreHangups(ctx context.Context, log *logrus.Logger, process string) (stop func()) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				log.WithFields(logrus.Fields{"event": "hangup-ignored", "process": process}).Info()
			}
		}
	}()
	return func() { signal.Stop(hangups) }
}
