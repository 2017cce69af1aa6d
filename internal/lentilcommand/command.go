// Package lentilcommand is the command line of lentilstair. Each command is a
// small directory below this one with its code and its text for people, and has
// one line in the table.
package lentilcommand

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilcommand/lentilagentcommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilapplycommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilauditcommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilbalancercommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilcheckcommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentildraincommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilexplaincommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilplancommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilrestorecommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilstatuscommand"
	"lentilstair.example/lentilstair/internal/lentilcommand/lentilversioncommand"
	"lentilstair.example/lentilstair/internal/lentilexit"
)

// commands is the table of all commands, in the order in which help lists them.
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
	lentilexplaincommand.New,
	lentilversioncommand.New,
}

// Streams are the standard streams of a program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// New returns the root of the commands.
func New() *cli.Command {
	root := &cli.Command{
		Name:     "lentilstair",
		Usage:    "a layer-4 load balancer for upstreams that are licensed by the copy",
		Commands: make([]*cli.Command, 0, len(commands)),
	}
	for _, command := range commands {
		root.Commands = append(root.Commands, command())
	}
	return root
}

// Run runs the command that args names (args[0] is the program) and returns the
// exit code. Results go to the standard output, all else to the standard error.
func Run(ctx context.Context, args []string, streams Streams) lentilexit.Code {
	return RunRoot(ctx, New(), args, streams)
}

// RunRoot runs a program with the given root command: what the two programs of
// the project have in common.
func RunRoot(ctx context.Context, root *cli.Command, args []string, streams Streams) lentilexit.Code {
	root.Reader, root.Writer, root.ErrWriter = streams.In, streams.Out, streams.Err
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.CommandNotFound = func(_ context.Context, _ *cli.Command, name string) {
		_, _ = fmt.Fprintf(streams.Err, "no command is called %q\n", name)
	}
	root.OnUsageError = usageError
	for _, command := range root.Commands {
		command.OnUsageError = usageError
	}
	if name := unknown(root, args); name != "" {
		_, _ = fmt.Fprintf(streams.Err, "%s: no command is called %q; %s help lists them\n", root.Name, name, root.Name)
		return lentilexit.Usage
	}
	err := root.Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(streams.Err, "%s: %v\n", root.Name, err)
	}
	return lentilexit.Of(err)
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return lentilexit.With(lentilexit.Usage, err)
}

// unknown returns the first argument if it should name a command and does not.
func unknown(root *cli.Command, args []string) string {
	const programAndCommand = 2
	if len(args) < programAndCommand || args[1] == "" || args[1][0] == '-' || args[1] == "help" || args[1] == "h" {
		return ""
	}
	if root.Command(args[1]) != nil {
		return ""
	}
	return args[1]
}
