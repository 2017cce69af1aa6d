package lentilstand

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentildoc"
	"lentilstair.example/lentilstair/internal/lentilexit"
)

// newDocs returns the command `docs`, which is run by scripts/generate.
func newDocs() *cli.Command {
	return &cli.Command{
		Name:      "docs",
		Usage:     "write the generated documentation pages to a directory",
		ArgsUsage: "DIRECTORY",
		Hidden:    true,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("use: docs DIRECTORY"))
			}
			return lentildoc.Write(c.Args().First())
		},
	}
}
