package lentillab

import (
	"context"
	"fmt"
	"time"

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

// Apply carries out a release note by `lentilstair apply`, and returns how long it
// took until it was in force everywhere.
func (r *Running) Apply(ctx context.Context, note lentilnote.Doc) (inForce time.Duration, err error) {
	file, err := r.writeJSON("note-"+note.ID+".json", note)
	if err != nil {
		return 0, err
	}
	return r.Change(ctx, "apply", file)
}

// StartOperation starts a command of operators.
func (r *Running) StartOperation(command string, args ...string) (process *Process, err error) {
	settings, err := r.writeJSON("operator.json", r.operatorDoc())
	if err != nil {
		return nil, err
	}
	r.operations++
	name := fmt.Sprintf("%s-%d", command, r.operations)
	return r.lab.Stair(name, append([]string{command, "--settings", settings}, args...)...)
}
