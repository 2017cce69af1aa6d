// Command lentilstand runs stand-ins for the systems around lentilstair, the demo and the
// measurements.
package main

import (
	"context"
	"os"

	"lentilstair.example/lentilstair/internal/lentilprogram"
	"lentilstair.example/lentilstair/internal/lentilstand"
)

func main() {
	streams := lentilprogram.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(lentilstand.Run(context.Background(), os.Args, streams)))
}
