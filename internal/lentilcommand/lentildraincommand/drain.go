// Package lentildraincommand is the command `drain`.
package lentildraincommand

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
		Name:        "drain",
		Usage:       "take failure domains or copies out",
		ArgsUsage:   "domain|copy NAME...",
		Description: description,
		Flags:       lentiloperator.SwitchFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return lentiloperator.Switch(ctx, c, "drain", true)
		},
	}
}
