// Package lentilexplaincommand implements the `explain` command, which shows what the codes
// in logs, errors and metrics mean.
package lentilexplaincommand

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilcode"
	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilfinding"
	"lentilstair.example/lentilstair/internal/lentilmetric"
	"lentilstair.example/lentilstair/internal/lentilsetting"
)

//go:embed description.txt
var description string

// New returns the `explain` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "explain a code",
		ArgsUsage:   "[CODE]",
		Description: description,
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "write JSON"}},
		Action:      run,
	}
}

// Codes returns the documentation of all codes: faults in settings, findings in configurations,
// events, exit codes and metrics.
func Codes() []lentilcode.Doc {
	return slices.Concat(lentilsetting.Codes(), lentilfinding.Codes(), lentilevent.Codes(), lentilexit.Codes(), lentilmetric.Codes())
}

func run(_ context.Context, c *cli.Command) (err error) {
	docs := Codes()
	if code := c.Args().First(); code != "" {
		i := slices.IndexFunc(docs, func(d lentilcode.Doc) bool { return strings.EqualFold(d.Code, code) })
		if i < 0 {
			return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("unknown code %q", code))
		}
		docs = docs[i : i+1]
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(docs)
	}
	return writeText(c.Root().Writer, docs)
}

// writeText writes the full text of a single entry, or a list of codes and titles.
func writeText(w io.Writer, docs []lentilcode.Doc) (err error) {
	if len(docs) == 1 {
		return docs[0].WriteText(w)
	}
	for _, doc := range docs {
		if _, err = fmt.Fprintf(w, "%-40s %s\n", doc.Code, doc.Title); err != nil {
			return err
		}
	}
	return nil
}
