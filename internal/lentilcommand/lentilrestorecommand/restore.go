// Package lentilrestorecommand is the command `restore`.
package lentilrestorecommand

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
		Name:        "restore",
		Usage:       "bring failure domains or copies back",
		Description: description,
	}.Command()
}
