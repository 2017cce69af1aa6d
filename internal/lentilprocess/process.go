// Package lentilprocess is what the long-running commands have in common: they
// load settings, log, stop gracefully at the first signal and at once at the
// second.
package lentilprocess

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilexit"
)

// ErrForced is the cause of a context that ended by a second signal.
var ErrForced = errors.New("a second signal asked to stop at once")

// Stop tells a shell how to end.
type Stop struct {
	graceful <-chan struct{}
}

// NewStop returns a Stop that asks for a graceful stop when the channel is closed.
func NewStop(graceful <-chan struct{}) Stop { return Stop{graceful: graceful} }

// Graceful returns a channel that is closed when a graceful stop is asked for.
func (s Stop) Graceful() <-chan struct{} { return s.graceful }

// Run runs a shell. The shell returns when it has ended: by itself, some time
// after stop.Graceful is closed, or at once when ctx ends.
func Run(ctx context.Context, logger lentilevent.Logger, shell func(ctx context.Context, stop Stop) error) (err error) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return run(ctx, logger, signals, shell)
}

func run(ctx context.Context, logger lentilevent.Logger, signals <-chan os.Signal, shell func(context.Context, Stop) error) (err error) {
	forced, force := context.WithCancelCause(ctx)
	defer force(nil)
	graceful := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		err = shell(forced, NewStop(graceful))
	}()
	for asked := 0; ; asked++ {
		select {
		case <-ended:
			return result(logger, err, context.Cause(forced))
		case got := <-signals:
			if asked == 0 {
				logger.Write(lentilevent.StopAsked, lentilevent.Str("signal", got.String()))
				close(graceful)
				continue
			}
			logger.Write(lentilevent.StopForced, lentilevent.Str("reason", "second signal"))
			force(ErrForced)
			<-ended
			return result(logger, err, ErrForced)
		}
	}
}

// result logs how the shell ended. A stop at once is a failure, since it cuts
// what was open.
func result(logger lentilevent.Logger, err, cause error) error {
	if errors.Is(cause, ErrForced) {
		return lentilexit.With(lentilexit.Failure, ErrForced)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		logger.Write(lentilevent.StopFailed, lentilevent.Err(err))
		return err
	}
	logger.Write(lentilevent.Stopped)
	return nil
}
