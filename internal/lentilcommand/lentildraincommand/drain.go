// Package lentildraincommand implements the `drain` command, which takes failure domains out
// of service or drains copies.
package lentildraincommand

import (
	_ "embed"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentiloperator"
)

//go:embed description.txt
var description string

// New returns the `drain` command.
func New() *cli.Command {
	return lentiloperator.DrainRestoreCommand{
		Name:        "drain",
		Usage:       "take failure domains out of service, or drain copies",
		Description: description,
		Drain:       true,
	}.Command()
}
