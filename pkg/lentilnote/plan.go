package lentilnote

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
	"lentilstair.example/lentilstair/pkg/lentilerror"
	"lentilstair.example/lentilstair/pkg/lentilid"
)

//go:generate stringer -type=ObjectKind,Action -output=names_string.go

// ObjectKind is a kind of object that a note may touch.
type ObjectKind uint8

// The kinds of objects.
const (
	ObjectService ObjectKind = iota + 1
	ObjectCopy
	ObjectDomain
)

// Object names an object of a configuration.
type Object struct {
	Kind ObjectKind
	Name string
}

// String returns the object for people, such as "copy iscrizioni-1".
func (o Object) String() string {
	switch o.Kind {
	case ObjectService:
		return "service " + o.Name
	case ObjectCopy:
		return "copy " + o.Name
	default:
		return "failure domain " + o.Name
	}
}

// Action is what a note does to an object.
type Action uint8

// The actions.
const (
	// ActionNone: the configuration has it already.
	ActionNone Action = iota
	ActionAdd
	ActionChange
	ActionWithdraw
	ActionOut
	ActionBack
)

// actionTexts are the written forms of the actions.
var actionTexts = map[Action]string{
	ActionNone:     "none",
	ActionAdd:      "add",
	ActionChange:   "change",
	ActionWithdraw: "withdraw",
	ActionOut:      "out",
	ActionBack:     "back",
}

// Text returns the written form of the action.
func (a Action) Text() string { return actionTexts[a] }

// Change is one line of a plan.
type Change struct {
	action Action
	object Object
	detail string
}

// Action returns what would happen.
func (c Change) Action() Action { return c.action }

// Object returns what it would happen to.
func (c Change) Object() Object { return c.object }

// Detail returns what changes, for people.
func (c Change) Detail() string { return c.detail }

// Plan is what a note would change in a configuration.
type Plan struct {
	changes []Change
	next    lentilconfig.Document
}

// Changes returns the lines of the plan in the order of the note, those with
// ActionNone too.
func (p Plan) Changes() []Change { return p.changes }

// Empty reports whether nothing would change.
func (p Plan) Empty() bool {
	return !slices.ContainsFunc(p.changes, func(c Change) bool { return c.action != ActionNone })
}

// Next returns the configuration after the note, under the next version. If the
// plan is empty, it is the configuration as it was.
func (p Plan) Next() lentilconfig.Document { return p.next }

// ErrNotFound says that a note changes an object that the configuration doesn't hold.
var ErrNotFound = errors.New("the configuration doesn't hold it")

// ErrContentDiffers says that a note adds an object that the configuration holds with
// other content.
var ErrContentDiffers = errors.New("the configuration holds it with other content")

// Plan works out what the note changes in a document. Errors are ErrNotThere,
// ErrDiffers, or a *lentilconfig.FaultError if the outcome isn't sound.
func (n Note) Plan(document lentilconfig.Document) (plan Plan, err error) {
	defer lentilerror.Annotate(&err, "plan note %s on version %d", n.doc.ID, document.Version)
	p := newPlanner(document)
	p.planServices(n.doc.Services)
	p.planCopies(n.doc.Copies)
	p.planDomains(n.doc.Domains)
	if err = errors.Join(p.errs...); err != nil {
		return Plan{}, err
	}
	plan.changes = p.changes
	plan.next = document
	if plan.Empty() {
		return plan, nil
	}
	plan.next = p.document().Marked(n.Mark()).Canonical()
	if err = plan.next.Check(); err != nil {
		return Plan{}, withNames(err, plan.next)
	}
	return plan, nil
}

// faultPath finds the index in the path of a document's fault.
var faultPath = regexp.MustCompile(`^(services|copies|domains)\[(\d+)\](.*)$`)

// withNames puts names in place of the indexes of a document that nobody wrote.
func withNames(err error, document lentilconfig.Document) error {
	var faulty *lentilconfig.FaultError
	if !errors.As(err, &faulty) {
		return err
	}
	faults := slices.Clone(faulty.Faults())
	for i, fault := range faults {
		parts := faultPath.FindStringSubmatch(fault.Path)
		if parts == nil {
			continue
		}
		index, err := strconv.Atoi(parts[2])
		if err != nil {
			continue
		}
		faults[i].Path = parts[1] + "[" + objectNameAt(document, parts[1], index) + "]" + parts[3]
	}
	return lentilconfig.NewFaultError(faults)
}

func objectNameAt(document lentilconfig.Document, list string, index int) string {
	switch list {
	case "services":
		return document.Services[index].Name
	case "copies":
		return document.Copies[index].Name
	default:
		return document.Domains[index].Name
	}
}

var placeholderAddress = netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, 1}), 1)

func (d AddedServiceDoc) serviceDoc() lentilconfig.ServiceDoc {
	return lentilconfig.ServiceDoc{
		Name:        d.Name,
		Number:      1,
		Address:     d.Address,
		Slots:       d.Slots,
		Connections: d.Connections,
		Rules:       d.Rules,
	}
}

// applyTo returns the service with the changed fields.
func (d ChangedServiceDoc) applyTo(doc lentilconfig.ServiceDoc) lentilconfig.ServiceDoc {
	if d.Address != nil {
		doc.Address = *d.Address
	}
	if d.Slots != nil {
		doc.Slots = *d.Slots
	}
	if d.Connections != nil {
		doc.Connections = *d.Connections
	}
	if d.Rules != nil {
		doc.Rules = *d.Rules
	}
	return doc
}

// describeServiceChange returns what differs between two states of a service.
func describeServiceChange(from, to lentilconfig.ServiceDoc) string {
	var parts []string
	if from.Address != to.Address {
		parts = append(parts, fmt.Sprintf("address %s -> %s", from.Address, to.Address))
	}
	if from.Slots != to.Slots {
		parts = append(parts, fmt.Sprintf("slots %d -> %d", from.Slots, to.Slots))
	}
	if from.Connections != to.Connections {
		parts = append(parts, fmt.Sprintf("connections %d -> %d", from.Connections, to.Connections))
	}
	if !slices.Equal(from.Rules, to.Rules) {
		parts = append(parts, fmt.Sprintf("rules %d -> %d", len(from.Rules), len(to.Rules)))
	}
	return strings.Join(parts, ", ")
}

// assignServiceNumber hands out numbers that no service has had.
func assignServiceNumber(mark *lentilid.Service) (number lentilid.Service, ok bool) {
	if *mark > lentilconfig.ServiceNumberMax {
		return 0, false
	}
	number = *mark
	*mark++
	return number, true
}
