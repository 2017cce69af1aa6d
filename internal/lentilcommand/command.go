// Package lentilcommand implements the command line of lentilstair. Each command
// is a package in a subdirectory, which also holds its help text (description.txt).
// The commands table lists them all.
package lentilcommand

import (
	"context"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilcommand/lentilagentcommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilapplycommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilauditcommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilbalancercommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilcheckcommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilconfigcommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentildraincommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilexplaincommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilplancommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilrestorecommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilstatuscommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilversioncommand"
	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilprogram"
)

// commands holds the constructors of all commands, in the order in which help lists them.
var commands = []func() *cli.Command{
	lentilbalancercommand.New,
	lentilagentcommand.New,
	lentilplancommand.New,
	lentilapplycommand.New,
	lentilstatuscommand.New,
	lentildraincommand.New,
	lentilrestorecommand.New,
	lentilauditcommand.New,
	lentilcheckcommand.New,
	lentilconfigcommand.New,
	lentilexplaincommand.New,
	lentilversioncommand.New,
}

// New returns the root command with all subcommands.
func New() *cli.Command {
	root := &cli.Command{
		Name:     "lentilstair",
		Usage:    "a layer-4 load balancer for upstreams that are licensed by the copy",
		Commands: make([]*cli.Command, 0, len(commands)),
	}
	for _, newCommand := range commands {
		root.Commands = append(root.Commands, newCommand())
	}
	return root
}

// Run runs the command in args and returns the exit code; args[0] is the name of
// the program. Results go to standard output, everything else to standard error.
func Run(ctx context.Context, args []string, streams lentilprogram.Streams) lentilexit.Code {
	return lentilprogram.Run(ctx, New(), args, streams)
}
