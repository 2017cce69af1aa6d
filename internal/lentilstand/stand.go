// Package lentilstand implements the command line of lentilstand. It runs the demo,
// the measurements and the stand-ins, which replace the systems around lentilstair:
// platform, fabric, upstream and callers. Each stand-in is a subpackage whose function
// New returns its command, and has one entry in commands.
package lentilstand

import (
	"context"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilprogram"
	"lentilstair.example/lentilstair/internal/lentilstand/caller"
	"lentilstair.example/lentilstair/internal/lentilstand/fabric"
	"lentilstair.example/lentilstair/internal/lentilstand/platform"
	"lentilstair.example/lentilstair/internal/lentilstand/upstream"
)

// commands lists the constructors of all commands, in the order of the help text.
var commands = []func() *cli.Command{
	platform.New,
	fabric.New,
	upstream.New,
	caller.New,
	newDemo,
	newPackets,
	newMeasure,
	newDocs,
}

// Run runs the command named by args, where args[0] is the program, and returns the
// exit code.
func Run(ctx context.Context, args []string, streams lentilprogram.Streams) lentilexit.Code {
	root := &cli.Command{
		Name:  "lentilstand",
		Usage: "run stand-ins for the systems around lentilstair, the demo and the measurements",
	}
	for _, newCommand := range commands {
		root.Commands = append(root.Commands, newCommand())
	}
	return lentilprogram.Run(ctx, root, args, streams)
}
