// Package lentilrestorecommand is the command `restore`.
package lentilrestorecommand

import (
	"context"
	_ "embed"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentiloperator"
)

//go:embed description.txt
var description string

// New returns the command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "restore",
		Usage:       "bring failure domains or copies back",
		ArgsUsage:   "domain|copy NAME...",
		Description: description,
		Flags:       lentiloperator.SwitchFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return lentiloperator.Switch(ctx, c, "restore", false)
		},
	}
}
