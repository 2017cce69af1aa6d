// Command lentilstair is the load balancer. It has a subcommand for each role of a process, and
// subcommands for operators.
package main

import (
	"context"
	"os"

	"lentilstair.example/lentilstair/internal/lentilcommand"
	"lentilstair.example/lentilstair/internal/lentilprogram"
)

func main() {
	streams := lentilprogram.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(lentilcommand.Run(context.Background(), os.Args, streams)))
}
