// Package lentilplancommand implements the `plan` command, which shows what a release note
// would change without applying it.
package lentilplancommand

import (
	"context"
	_ "embed"
	"fmt"

	"github.com/urfave/cli/v3"

	"lentilstair.example/lentilstair/internal/lentilexit"
	"lentilstair.example/lentilstair/internal/lentiloperator"
)

//go:embed description.txt
var description string

// Doc is the JSON form of a plan.
type Doc struct {
	NoteID string `json:"noteId"`
	Author string `json:"author"`
	// Version is the version of the configuration that the note was compared with.
	Version uint64                     `json:"version"`
	Empty   bool                       `json:"empty"`
	Changes []lentiloperator.ChangeDoc `json:"changes"`
}

// New returns the `plan` command.
func New() *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "show what a release note would change",
		ArgsUsage:   "NOTE",
		Description: description,
		Flags:       []cli.Flag{lentiloperator.SettingsFlag(), lentiloperator.JSONFlag()},
		Action:      run,
	}
}

func run(ctx context.Context, c *cli.Command) (err error) {
	note, err := lentiloperator.ReadNote(c)
	if err != nil {
		return err
	}
	session, err := lentiloperator.Open(c)
	if err != nil {
		return err
	}
	defer session.Close()
	document, err := session.ReadConfiguration(ctx)
	if err != nil {
		return lentiloperator.WithExitCode(err)
	}
	plan, err := note.Plan(document)
	if err != nil {
		return lentilexit.With(lentilexit.Note, err)
	}
	doc := Doc{
		NoteID:  note.ID(),
		Author:  note.Author(),
		Version: document.Version,
		Empty:   plan.Empty(),
		Changes: lentiloperator.ChangeDocs(plan),
	}
	if c.Bool("json") {
		return lentiloperator.WriteJSON(c.Root().Writer, doc)
	}
	if err = lentiloperator.WriteChanges(c.Root().Writer, doc.Changes); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "note %s on version %d: %s\n", doc.NoteID, doc.Version, summary(doc))
	return err
}

func summary(doc Doc) string {
	if doc.Empty {
		return "nothing to change"
	}
	return "applying the note would create the next version; nothing was changed"
}
