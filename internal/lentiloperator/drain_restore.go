package lentiloperator

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// maxNames is the maximum number of objects that one command drains or restores.
const maxNames = 100

// DrainRestoreCommand is a command that takes failure domains out of service or drains copies, or that
// returns them to service.
type DrainRestoreCommand struct {
	// Name, Usage and Description are the command's name and help texts. The ids of the notes
	// that it generates begin with the name.
	Name, Usage, Description string
	// Drain is true if the command takes the named objects out of service, and false if it
	// returns them.
	Drain bool
}

// Command returns the command for the command line.
func (d DrainRestoreCommand) Command() *cli.Command {
	return &cli.Command{
		Name:        d.Name,
		Usage:       d.Usage,
		ArgsUsage:   "domain|copy NAME...",
		Description: d.Description,
		Flags:       drainRestoreFlags(),
		Action:      d.run,
	}
}

// run creates the note and applies it. The arguments are "domain" or "copy", then names.
func (d DrainRestoreCommand) run(ctx context.Context, c *cli.Command) (err error) {
	names := c.Args().Tail()
	kind := c.Args().First()
	if len(names) == 0 || len(names) > maxNames || kind != "domain" && kind != "copy" {
		return lentilexit.With(lentilexit.Usage, errorx.IllegalArgument.New("use: %s domain|copy NAME...", c.FullName()))
	}
	session, err := Open(c)
	if err != nil {
		return err
	}
	defer session.Close()
	doc := lentilnote.Doc{ID: session.GenerateNoteID(d.Name, names[0]), Author: session.Author, Reason: c.String("reason")}
	if c.String("author") != "" {
		doc.Author = c.String("author")
	}
	switch {
	case kind == "domain" && d.Drain:
		doc.Domains.Out = names
	case kind == "domain":
		doc.Domains.Back = names
	default:
		for _, name := range names {
			doc.Copies.Changed = append(doc.Copies.Changed, lentilnote.ChangedCopyDoc{Name: name, Draining: &d.Drain})
		}
	}
	note, err := lentilnote.New(doc)
	if err != nil {
		return lentilexit.With(lentilexit.Usage, err)
	}
	return Apply(ctx, c, session, note)
}

// drainRestoreFlags returns the flags of the commands.
func drainRestoreFlags() []cli.Flag {
	return append(ApplyFlags(),
		&cli.StringFlag{Name: "author", Usage: "`NAME` of the responsible person; the default is the author in the settings"},
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the audit record"},
	)
}
