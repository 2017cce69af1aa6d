// Package lentilversioncommand implements the `version` command, which shows the version of
// the program and the commit that it was built from.
package lentilversioncommand

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

//go:embed description.txt
var description string

// Doc is the JSON form of the result.
type Doc struct {
	// Version is the version of the module; it is "(devel)" in a build from a checkout.
	Version string `json:"version"`
	// Commit is the commit of the checkout; it is empty if it is not known.
	Commit string `json:"commit"`
	// Modified is true if the checkout had uncommitted changes.
	Modified bool   `json:"modified"`
	Go       string `json:"go"`
}

// New returns the `version` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "version",
		Usage:       "print the version of the program",
		Description: description,
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "write JSON"}},
		Action:      run,
	}
}

func run(_ context.Context, c *cli.Command) (err error) {
	doc := readBuildInfo()
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(doc)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "lentilstair %s, commit %s, %s\n", doc.Version, doc.Commit, doc.Go)
	return err
}

func readBuildInfo() (doc Doc) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Doc{}
	}
	doc = Doc{Version: info.Main.Version, Go: info.GoVersion}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			doc.Commit = setting.Value
		case "vcs.modified":
			doc.Modified = setting.Value == "true"
		}
	}
	return doc
}
