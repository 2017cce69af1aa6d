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

// pathRules say how the paths of the upstream stand-in are treated.
var pathRules = []lentilconfig.RuleDoc{
	{Prefix: "/watch", Kind: "stream"},
	{Prefix: "/work", Kind: "repeatable"},
	{Prefix: "/enrol", Kind: "once"},
}

// initialNote adds everything that the site has at its start.
func (r *RunningSite) initialNote() (note lentilnote.Doc) {
	note = lentilnote.Doc{ID: "first", Author: author, Reason: "start of the lab"}
	for _, domain := range r.site.Domains {
		note.Domains.Added = append(note.Domains.Added, lentilnote.AddedDomainDoc{Name: domain, Region: r.site.Region})
	}
	for _, service := range r.site.Services {
		note.Services.Added = append(note.Services.Added, lentilnote.AddedServiceDoc{
			Name: service.Name, Address: r.ServiceAddress(service), Slots: service.Slots, Connections: service.Connections, Rules: pathRules,
		})
	}
	for _, c := range r.copies {
		note.Copies.Added = append(note.Copies.Added, c.configDoc())
	}
	return note
}

func (c *Copy) configDoc() lentilconfig.CopyDoc {
	return lentilconfig.CopyDoc{Name: c.name, Service: c.service.Name, Domain: c.domain}
}

// ReplacementNote returns the note that adds one copy and withdraws another.
func ReplacementNote(id string, added, withdrawn *Copy) (note lentilnote.Doc) {
	note = lentilnote.Doc{ID: id, Author: author, Reason: "replace " + withdrawn.name}
	note.Copies.Added = []lentilconfig.CopyDoc{added.configDoc()}
	note.Copies.Withdrawn = []string{withdrawn.name}
	return note
}

// ApplyNote carries out a release note by `lentilstair apply`, and returns how long it
// took until it was in force everywhere.
func (r *RunningSite) ApplyNote(ctx context.Context, note lentilnote.Doc) (inForce time.Duration, err error) {
	file, err := r.writeJSON("note-"+note.ID+".json", note)
	if err != nil {
		return 0, err
	}
	return r.ChangeConfiguration(ctx, "apply", file)
}

// StartOperatorCommand starts a command of operators.
func (r *RunningSite) StartOperatorCommand(command string, args ...string) (process *Process, err error) {
	settings, err := r.writeJSON("operator.json", r.operatorSettings())
	if err != nil {
		return nil, err
	}
	r.operatorCommands++
	name := fmt.Sprintf("%s-%d", command, r.operatorCommands)
	return r.lab.StartLentilstair(name, append([]string{command, "--settings", settings}, args...)...)
}
