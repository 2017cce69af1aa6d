// Package lentilcheckcommand implements the `check-settings` command, which reports all
// errors in a settings file before a process is started with it.
package lentilcheckcommand

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilsetting"
)

//go:embed description.txt
var description string

// Doc is the JSON form of the result.
type Doc struct {
	File        string                        `json:"file"`
	FieldErrors []lentilsetting.FieldErrorDoc `json:"faults"`
}

// New returns the `check-settings` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "check-settings",
		Usage:       "check the settings of a process or operator",
		ArgsUsage:   "balancer|agent|operator|packet-balancer|packet-agent FILE",
		Description: description,
		Flags:       []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "write JSON"}},
		Action:      run,
	}
}

func run(_ context.Context, c *cli.Command) (err error) {
	role, file := c.Args().Get(0), c.Args().Get(1)
	if file == "" || c.Args().Len() != 2 {
		return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("use: check-settings balancer|agent|operator|packet-balancer|packet-agent FILE"))
	}
	switch role {
	case "balancer":
		_, err = lentilsetting.Loader{}.Balancer(file)
	case "agent":
		_, err = lentilsetting.Loader{}.Agent(file)
	case "operator":
		_, err = lentilsetting.Loader{}.Operator(file)
	case "packet-balancer":
		_, err = lentilsetting.Loader{}.PacketBalancer(file)
	case "packet-agent":
		_, err = lentilsetting.Loader{}.PacketAgent(file)
	default:
		return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("role %q is not balancer, agent, operator, packet-balancer or packet-agent", role))
	}
	return writeResult(c, file, err)
}

// writeResult writes the result of the check. Errors in the settings end the command with
// lentilexit.Settings; result is returned unchanged if it is any other error.
func writeResult(c *cli.Command, file string, result error) (err error) {
	var invalid *lentilsetting.ValidationError
	if result != nil && !errors.As(result, &invalid) {
		return result
	}
	if c.Bool("json") {
		doc := Doc{File: file, FieldErrors: []lentilsetting.FieldErrorDoc{}}
		if invalid != nil {
			for _, fieldError := range invalid.FieldErrors() {
				doc.FieldErrors = append(doc.FieldErrors, fieldError.Doc())
			}
		}
		if err = json.NewEncoder(c.Root().Writer).Encode(doc); err != nil {
			return err
		}
	}
	if result == nil && !c.Bool("json") {
		_, err = fmt.Fprintf(c.Root().Writer, "%s: no faults\n", file)
		return err
	}
	return lentilexit.With(lentilexit.Settings, result)
}
