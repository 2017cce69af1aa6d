package lentiloperator

import (
	"context"

	"github.com/joomcode/errorx"
	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// maxNames is how many objects one command switches.
const maxNames = 100

// DrainRestore is a command that takes failure domains or copies out, or brings them back.
type DrainRestore struct {
	// Name, Usage and Description are the command's texts. The ids of its notes begin
	// with the name.
	Name, Usage, Description string
	// Drain is true if the command takes out what its arguments name.
	Drain bool
}

// Command returns the command.
func (s DrainRestore) Command() *cli.Command {
	return &cli.Command{
		Name:        s.Name,
		Usage:       s.Usage,
		ArgsUsage:   "domain|copy NAME...",
		Description: s.Description,
		Flags:       drainRestoreFlags(),
		Action:      s.run,
	}
}

// run makes the note and carries it out. The arguments are "domain" or "copy" and names.
func (s DrainRestore) run(ctx context.Context, c *cli.Command) (err error) {
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
	doc := lentilnote.Doc{ID: session.GenerateNoteID(s.Name, names[0]), Author: session.Author, Reason: c.String("reason")}
	if c.String("author") != "" {
		doc.Author = c.String("author")
	}
	switch {
	case kind == "domain" && s.Drain:
		doc.Domains.Out = names
	case kind == "domain":
		doc.Domains.Back = names
	default:
		for _, name := range names {
			doc.Copies.Changed = append(doc.Copies.Changed, lentilnote.ChangedCopyDoc{Name: name, Draining: &s.Drain})
		}
	}
	note, err := lentilnote.New(doc)
	if err != nil {
		return lentilexit.With(lentilexit.Usage, err)
	}
	return Apply(ctx, c, session, note)
}

// drainRestoreFlags are the flags of such a command.
func drainRestoreFlags() []cli.Flag {
	return append(ApplyFlags(),
		&cli.StringFlag{Name: "author", Usage: "`NAME` of who answers for it; the settings' author unless given"},
		&cli.StringFlag{Name: "reason", Usage: "`TEXT` for the audit trail"},
	)
}
