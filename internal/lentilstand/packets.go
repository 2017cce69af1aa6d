package lentilstand

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/platform/lentilsite"
)

// defaultFaultDuration is how long faults are injected by default: enough for about ten faults.
const defaultFaultDuration = 6 * time.Second

// newPackets returns the command `packets`.
func newPackets() *cli.Command {
	return &cli.Command{
		Name:  "packets",
		Usage: "run a site for packet flows as separate processes, inject random faults and report violated promises",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds the random faults"},
			&cli.DurationFlag{Name: "length", Value: defaultFaultDuration, Usage: "inject faults for `TIME`"},
			&cli.StringFlag{Name: "earlier", Usage: "run `PROGRAM`, lentilpacket of an earlier release, at every second start of a process"},
			&cli.BoolFlag{Name: "calm", Usage: "inject no faults"},
			&cli.BoolFlag{Name: "store-returns", Usage: "let the store return from older copies, in addition to the other faults"},
		},
		Action: runPackets,
	}
}

func runPackets(ctx context.Context, c *cli.Command) (err error) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return err
	}
	directory, err := os.MkdirTemp("", "lentilpackets")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	report, err := lentilsite.Run(ctx, lentilsite.Setup{
		Program: filepath.Join(filepath.Dir(program), "lentilpacket"), EarlierProgram: c.String("earlier"), Directory: directory, Seed: c.Uint64("seed"),
		Zones: 2, BalancersPerZone: 2, UpstreamsPerZone: 3, Clients: 24, FaultDuration: c.Duration("length"), NoFaults: c.Bool("calm"),
		StoreReturns: c.Bool("store-returns"),
	})
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(c.Root().Writer)
	encoder.SetIndent("", "  ")
	if err = encoder.Encode(report); err != nil || len(report.Violations) == 0 {
		return err
	}
	return lentilexit.With(lentilexit.Promise, errorx.AssertionFailed.New("%d promises were violated", len(report.Violations)))
}
