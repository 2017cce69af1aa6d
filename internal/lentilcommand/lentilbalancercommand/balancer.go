// Package lentilbalancercommand is the command `balancer`.
package lentilbalancercommand

import (
	"context"
	_ "embed"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilevent"
	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentilnode"
	"lentilstair.example/lentilstair/internal/lentilprocess"
	"lentilstair.example/lentilstair/internal/lentilsetting"
)

//go:embed description.txt
var description string

// New returns the command.
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
	logger := lentilevent.New(c.Root().ErrWriter, settings.LogLevel()).
		With(lentilevent.Str("role", "balancer"), lentilevent.Str("name", settings.Name()))
	return lentilprocess.Run(ctx, logger, func(graceful, forced context.Context) (err error) {
		common, err := lentilnode.New("balancer", settings.AdminAddress(), settings.Keys(), logger)
		if err != nil {
			return err
		}
		defer common.Close()
		role, err := newRole(settings, common)
		if err != nil {
			return err
		}
		return role.run(graceful, forced)
	})
}
