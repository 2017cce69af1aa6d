// Package lentilprocess runs long-running commands and stops them on signals: the first
// signal requests a graceful stop, the second one an immediate stop.
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

// ErrForced is the cause with which a second signal cancels the forced context.
var ErrForced = errors.New("a second signal forced an immediate stop")

// MainFunc does the work of a process and returns when it has ended. When graceful ends
// it has to stop after finishing open work. When forced ends it has to stop at once.
type MainFunc func(graceful, forced context.Context) error

// Run calls mainFunc and stops it on signals. The first SIGTERM or SIGINT cancels the
// graceful context, the second one the forced context.
func Run(ctx context.Context, logger lentilevent.Logger, mainFunc MainFunc) (err error) {
	const bufferedSignals = 2
	signals := make(chan os.Signal, bufferedSignals)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	// A process goes on if whoever reads its log has ended; writes then fail.
	signal.Ignore(syscall.SIGPIPE)
	return runWithSignals(ctx, logger, signals, mainFunc)
}

func runWithSignals(ctx context.Context, logger lentilevent.Logger, signals <-chan os.Signal, mainFunc MainFunc) (err error) {
	forced, stopAtOnce := context.WithCancelCause(ctx)
	defer stopAtOnce(nil)
	graceful, stopGracefully := context.WithCancel(forced)
	defer stopGracefully()
	exited := make(chan error, 1)
	go func() { exited <- mainFunc(graceful, forced) }()
	for {
		select {
		case err = <-exited:
			return logExit(logger, err, context.Cause(forced))
		case received := <-signals:
			if graceful.Err() == nil {
				logger.Write(lentilevent.StopAsked, lentilevent.Str("signal", received.String()))
				stopGracefully()
				continue
			}
			logger.Write(lentilevent.StopForced, lentilevent.Str("reason", "second signal"))
			stopAtOnce(ErrForced)
		}
	}
}

// logExit logs how the main function ended and returns the error of the process. An
// immediate stop is a failure, since it cuts off open work. It has been logged before as
// StopForced.
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
