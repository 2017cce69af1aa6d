// Package lentilagentcommand implements the `agent` command, which runs an agent beside a
// copy of a service. It connects the agent to its settings, control connections, metrics
// and log.
package lentilagentcommand

import (
	"context"
	_ "embed"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilnode"
	"lentilstair.example/lentilstair/internal/lentilsetting"
)

//go:embed description.txt
var description string

// New returns the `agent` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run an agent",
		Description: description,
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true}},
		Action:      run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	settings, err := lentilsetting.Loader{}.Agent(c.String("settings"))
	if err != nil {
		return lentilexit.With(lentilexit.Settings, err)
	}
	role := lentilnode.Role{
		Name: "agent", Instance: settings.Copy(),
		LogLevel: settings.LogLevel(), AdminAddress: settings.AdminAddress(), Keys: settings.Keys(),
	}
	return role.Run(ctx, c.Root().ErrWriter, func(graceful, forced context.Context, common *lentilnode.Runtime) (err error) {
		return newProcess(settings, common).run(graceful, forced)
	})
}
