package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/pkg/lentilerror"
)

const (
	headerTimeout = 5 * time.Second
	stopTimeout   = 2 * time.Second
)

// New returns the command `platform`, which runs the stand-in.
func New() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "stand in for the platform's object API",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8001", Usage: "address of the API and of the switches below /admin"},
			&cli.BoolFlag{Name: "down", Usage: "drop every connection"},
			&cli.DurationFlag{Name: "delay", Usage: "wait before each call"},
			&cli.IntFlag{Name: "lose-answers", Usage: "let that many writes take effect without an answer"},
			&cli.BoolFlag{Name: "unlimited", Usage: "do not limit the rate of calls"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) (err error) {
	defer lentilerror.Annotate(&err, "run the platform's stand-in")
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &Server{Unlimited: command.Bool("unlimited")}
	server.Switch(SwitchesDoc{
		Down:              command.Bool("down"),
		DelayMilliseconds: int(command.Duration("delay") / time.Millisecond),
		LoseAnswers:       command.Int("lose-answers"),
	})
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", command.String("listen"))
	if err != nil {
		return err
	}
	if _, err = fmt.Fprintln(command.Root().Writer, "platform listens on", listener.Addr()); err != nil {
		return err
	}
	return Serve(ctx, listener, server)
}

// Serve serves the handler on the listener until the context ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) (err error) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err = server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		// Watches outlast the graceful part.
		return server.Close()
	}
	return err
}
