// Package lentildraincommand is the command `drain`.
package lentildraincommand

import (
	_ "embed"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentiloperator"
)

//go:embed description.txt
var description string

// New returns the command.
func New() *cli.Command {
	return lentiloperator.DrainRestore{
		Name:        "drain",
		Usage:       "take failure domains or copies out",
		Description: description,
		Drain:       true,
	}.Command()
}
