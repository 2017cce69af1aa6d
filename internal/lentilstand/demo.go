package lentilstand

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentildemo"
	"lentilstair.example/lentilstair/internal/lentilexit"
)

// newDemo returns the command `demo`.
func newDemo() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete site as separate processes, make changes to it and report which promises were kept",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "short", Usage: "run for about 8 s instead of 20 s"},
			&cli.BoolFlag{Name: "json", Usage: "write JSON"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds the random choices of callers"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) (err error) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	report, err := lentildemo.Run(ctx, lentildemo.Options{
		Binaries: filepath.Dir(program), Short: c.Bool("short"), Seed: c.Uint64("seed"), Progress: c.Root().ErrWriter,
	})
	if err != nil {
		return err
	}
	write := report.WriteText
	if c.Bool("json") {
		write = report.WriteJSON
	}
	if err = write(c.Root().Writer); err != nil || report.OK {
		return err
	}
	return lentilexit.With(lentilexit.Promise, errorx.AssertionFailed.New("%d promises were violated", report.ViolatedPromises))
}
