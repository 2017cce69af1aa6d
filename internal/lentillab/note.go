package lentillab

import (
	"context"
	"fmt"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilnote"
)

// author is who answers for the notes of a lab.
const author = "lab"

// rules say how the paths of the upstream stand-in are treated.
var rules = []lentilconfig.RuleDoc{
	{Prefix: "/watch", Kind: "stream"},
	{Prefix: "/work", Kind: "repeatable"},
	{Prefix: "/enrol", Kind: "once"},
}

// firstNote adds everything that the site has at its start.
func (r *Running) firstNote() (note lentilnote.Doc) {
	note = lentilnote.Doc{ID: "first", Author: author, Reason: "start of the lab"}
	for _, domain := range r.site.Domains {
		note.Domains.Added = append(note.Domains.Added, lentilnote.AddedDomainDoc{Name: domain, Region: r.site.Region})
	}
	for _, service := range r.site.Services {
		note.Services.Added = append(note.Services.Added, lentilnote.AddedServiceDoc{
			Name: service.Name, Address: r.Address(service), Slots: service.Slots, Connections: service.Connections, Rules: rules,
		})
	}
	for _, c := range r.copies {
		note.Copies.Added = append(note.Copies.Added, c.noteDoc())
	}
	return note
}

func (c *Copy) noteDoc() lentilconfig.CopyDoc {
	return lentilconfig.CopyDoc{Name: c.name, Service: c.service.Name, Domain: c.domain}
}

// ReplaceNote returns the note that adds one copy and withdraws another.
func ReplaceNote(id string, added, withdrawn *Copy) (note lentilnote.Doc) {
	note = lentilnote.Doc{ID: id, Author: author, Reason: "replace " + withdrawn.name}
	note.Copies.Added = []lentilconfig.CopyDoc{added.noteDoc()}
	note.Copies.Withdrawn = []string{withdrawn.name}
	return note
}

// Apply carries out a release note by `lentilstair apply` and returns when it is
// in force.
func (r *Running) Apply(ctx context.Context, note lentilnote.Doc) (err error) {
	file, err := r.writeJSON("note-"+note.ID+".json", note)
	if err != nil {
		return err
	}
	return r.Operate(ctx, "apply", file)
}

// Operate runs a command of operators to its end.
func (r *Running) Operate(ctx context.Context, command string, args ...string) (err error) {
	r.operations++
	name := fmt.Sprintf("%s-%d", command, r.operations)
	process, err := r.lab.Stair(name, append([]string{command, "--platform", r.PlatformURL()}, args...)...)
	if err != nil {
		return err
	}
	_, err = process.Output(ctx)
	return err
}
