// Package lentilprocess runs the long-running commands and ends them by signals:
// gracefully at the first one, at once at the second.
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

// MainFunc runs until it has ended by itself, some time after graceful ends, or at
// once when forced ends.
type MainFunc func(graceful, forced context.Context) error

// Run runs a shell and ends it by signals: the first SIGTERM or SIGINT ends the
// graceful context, the second one the forced context.
func Run(ctx context.Context, logger lentilevent.Logger, shell MainFunc) (err error) {
	const kept = 2
	signals := make(chan os.Signal, kept)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	return runWithSignals(ctx, logger, signals, shell)
}

func runWithSignals(ctx context.Context, logger lentilevent.Logger, signals <-chan os.Signal, shell MainFunc) (err error) {
	forced, force := context.WithCancelCause(ctx)
	defer force(nil)
	graceful, ask := context.WithCancel(forced)
	defer ask()
	ended := make(chan error, 1)
	go func() { ended <- shell(graceful, forced) }()
	for {
		select {
		case err = <-ended:
			return logExit(logger, err, context.Cause(forced))
		case got := <-signals:
			if graceful.Err() == nil {
				logger.Write(lentilevent.StopAsked, lentilevent.Str("signal", got.String()))
				ask()
				continue
			}
			logger.Write(lentilevent.StopForced, lentilevent.Str("reason", "second signal"))
			force(ErrForced)
		}
	}
}

// logExit logs how the shell ended. A stop at once is a failure, since it cuts
// what was open.
func logExit(logger lentilevent.Logger, err, cause error) error {
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
