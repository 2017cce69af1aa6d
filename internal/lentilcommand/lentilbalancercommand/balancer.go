// Package lentilbalancercommand implements the `balancer` command, which runs a balancer.
// It connects the packet path to the settings, the control connections, the platform, the
// metrics and the log.
package lentilbalancercommand

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

// New returns the `balancer` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "balancer",
		Usage:       "run a balancer",
		Description: description,
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true}},
		Action:      run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	settings, err := lentilsetting.Loader{}.Balancer(c.String("settings"))
	if err != nil {
		return lentilexit.With(lentilexit.Settings, err)
	}
	role := lentilnode.Role{
		Name: "balancer", Instance: settings.Name(),
		LogLevel: settings.LogLevel(), AdminAddress: settings.AdminAddress(), Keys: settings.Keys(),
	}
	return role.Run(ctx, c.Root().ErrWriter, func(graceful, forced context.Context, common *lentilnode.Runtime) (err error) {
		balancer, err := newProcess(settings, common)
		if err != nil {
			return err
		}
		return balancer.run(graceful, forced)
	})
}
