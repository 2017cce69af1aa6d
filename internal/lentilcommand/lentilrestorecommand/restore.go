// Package lentilrestorecommand implements the `restore` command, which returns failure
// domains or copies to service.
package lentilrestorecommand

import (
	_ "embed"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentiloperator"
)

//go:embed description.txt
var description string

// New returns the `restore` command.
func New() *cli.Command {
	return lentiloperator.DrainRestoreCommand{
		Name:        "restore",
		Usage:       "return failure domains or copies to service",
		Description: description,
	}.Command()
}
