// Package lentilprogram runs the command line of a program. It holds what all programs of
// the project share: standard streams, usage errors and exit codes.
package lentilprogram

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
)

// Streams are the standard streams of a program.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run runs a program with the given root command and returns the exit code.
func Run(ctx context.Context, root *cli.Command, args []string, streams Streams) lentilexit.Code {
	root.Reader, root.Writer, root.ErrWriter = streams.In, streams.Out, streams.Err
	// The default handler may end the process itself, before Run returns the exit code.
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.CommandNotFound = func(_ context.Context, _ *cli.Command, name string) {
		_, _ = fmt.Fprintf(streams.Err, "no command is called %q\n", name)
	}
	root.OnUsageError = usageError
	for _, command := range root.Commands {
		command.OnUsageError = usageError
	}
	if name := unknownCommand(root, args); name != "" {
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

// unknownCommand returns the first argument if it names no command of root. It returns an
// empty string if the argument is a flag, is missing, or asks for help.
func unknownCommand(root *cli.Command, args []string) string {
	const programAndCommand = 2
	if len(args) < programAndCommand || args[1] == "" || args[1][0] == '-' || args[1] == "help" || args[1] == "h" {
		return ""
	}
	if root.Command(args[1]) != nil {
		return ""
	}
	return args[1]
}
