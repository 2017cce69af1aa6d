// Package lentilconfigcommand implements the `check-config` command, which reports errors in a
// configuration and what it would change, without sending it.
package lentilconfigcommand

import (
	"context"
	_ "embed"
	"fmt"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilfinding"
	"lentilstair.example/lentilstair/internal/lentiloperator"
	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

//go:embed description.txt
var description string

// New returns the `check-config` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "check-config",
		Usage:       "check a configuration before it is sent",
		ArgsUsage:   "FILE",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "against", Usage: "show what differs from the configuration in `FILE`"},
			&cli.BoolFlag{Name: "in-force", Usage: "show what differs from the configuration on the platform"},
			&cli.StringFlag{Name: "settings", Usage: "read the operator's settings for --in-force from `FILE`"},
			lentiloperator.JSONFlag(),
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	against, inForce := c.String("against"), c.Bool("in-force")
	switch {
	case c.Args().Len() != 1 || c.Args().First() == "":
		return usageError("use: check-config [--against FILE | --in-force --settings FILE] FILE")
	case against != "" && inForce:
		return usageError("--against and --in-force exclude each other")
	case inForce && c.String("settings") == "":
		return usageError("--in-force needs --settings")
	}
	source, document, ok := lentilfinding.ReadDocument(c.Args().First(), c.Root().Reader)
	report := lentilfinding.NewReport(source)
	if ok {
		lentilfinding.CheckDocument(report, document)
	}
	if against != "" || inForce {
		name, before, err := readOther(ctx, c, against)
		if err != nil {
			return err
		}
		if ok {
			lentilfinding.CompareDocuments(report, name, before, document)
		}
	}
	return report.Write(c.Root().Writer, c.Bool("json"))
}

// readOther reads the configuration to compare with from a file, or from the platform if against
// is empty. It returns the name of the configuration.
func readOther(ctx context.Context, c *cli.Command, against string) (name string, document lentilconfig.Document, err error) {
	if against != "" {
		source, document, ok := lentilfinding.ReadDocument(against, c.Root().Reader)
		if !ok {
			return against, document, lentilfinding.AgainstError(source)
		}
		return against, document, nil
	}
	session, err := lentiloperator.Open(c)
	if err != nil {
		return "", document, err
	}
	defer session.Close()
	if document, err = session.ReadConfiguration(ctx); err != nil {
		return "", document, lentiloperator.WithExitCode(err)
	}
	return fmt.Sprintf("version %d on the platform", document.Version), document, nil
}

func usageError(text string) error {
	return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("%s", text))
}
