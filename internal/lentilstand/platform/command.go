package platform

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilserver"
	"lentilstair.example/lentilstair/pkg/lentilerror"
)

// stopTimeout is the time for calls in progress at shutdown. Watches, which don't end by
// themselves, are aborted after it.
const stopTimeout = 2 * time.Second

// New returns the command `platform`, which runs the stand-in.
func New() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's object API",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:8001", Usage: "address of the API and of the admin endpoints below /admin"},
			&cli.BoolFlag{Name: "down", Usage: "drop every connection"},
			&cli.DurationFlag{Name: "delay", Usage: "delay each call by this time"},
			&cli.IntFlag{Name: "lose-answers", Usage: "let this many writes take effect without an answer"},
			&cli.BoolFlag{Name: "unlimited", Usage: "do not limit the rate of calls"},
		},
		Action: run,
	}
}

func run(ctx context.Context, command *cli.Command) (err error) {
	defer lentilerror.Annotate(&err, "run the platform stand-in")
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	server := &Server{Unlimited: command.Bool("unlimited")}
	server.SetFaults(FaultsDoc{
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
	return lentilserver.Serve(ctx, listener, server, stopTimeout)
}
