package lentilstand

import (
	"context"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilfigure"
	"lentilstair.example/lentilstair/internal/lentilmeasure"
)

// newMeasure returns the command `measure`.
func newMeasure() *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "run an experiment and print each figure as a line of JSON",
		ArgsUsage: "NAME|list|all",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that seeds the random choices"},
			&cli.BoolFlag{Name: "short", Usage: "run a smaller trial"},
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, c *cli.Command) (err error) {
	name := c.Args().First()
	switch name {
	case "":
		return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("use: measure NAME|list|all"))
	case lentilmeasure.NameList:
		return lentilmeasure.WriteList(c.Root().Writer)
	}
	experiment, err := lentilmeasure.Find(name)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	setup := lentilfigure.Setup{
		Seed:     c.Uint64("seed"),
		Short:    c.Bool("short"),
		Binaries: filepath.Dir(program),
		Progress: c.Root().ErrWriter,
	}
	return lentilmeasure.Run(ctx, experiment, setup, c.Root().Writer)
}
