// Package lentilapplycommand implements the `apply` command, which applies a release note
// and waits until it is in force.
package lentilapplycommand

import (
	"context"
	_ "embed"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentiloperator"
)

//go:embed description.txt
var description string

// New returns the `apply` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "apply",
		Usage:       "apply a release note",
		ArgsUsage:   "NOTE",
		Description: description,
		Flags:       lentiloperator.ApplyFlags(),
		Action:      run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	note, err := lentiloperator.ReadNote(c)
	if err != nil {
		return err
	}
	session, err := lentiloperator.Open(c)
	if err != nil {
		return err
	}
	defer session.Close()
	return lentiloperator.Apply(ctx, c, session, note)
}
