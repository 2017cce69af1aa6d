// Command lentilpacket runs lentilstair for packet flows on the platform of its first users.
package main

import (
	"context"
	"os"

	"lentilstair.example/lentilstair/internal/lentilprogram"
	"lentilstair.example/lentilstair/platform"
)

func main() {
	streams := lentilprogram.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(int(platform.Run(context.Background(), os.Args, streams)))
}
