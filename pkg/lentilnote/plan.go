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

// ObjectKind is a kind of object that a note can change.
type ObjectKind uint8

// The kinds of objects.
const (
	ObjectService ObjectKind = iota + 1
	ObjectCopy
	ObjectDomain
)

// Object identifies an object of a configuration.
type Object struct {
	Kind ObjectKind
	Name string
}

// String returns a text for operators, such as "copy iscrizioni-1".
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
	// ActionNone means that the configuration is already as the note wants it.
	ActionNone Action = iota
	ActionAdd
	ActionChange
	ActionWithdraw
	ActionOut
	ActionBack
)

// actionTexts are the actions as shown to operators and in audit records.
var actionTexts = map[Action]string{
	ActionNone:     "none",
	ActionAdd:      "add",
	ActionChange:   "change",
	ActionWithdraw: "withdraw",
	ActionOut:      "out",
	ActionBack:     "back",
}

// Text returns the action as shown to operators and in audit records.
func (a Action) Text() string { return actionTexts[a] }

// Change is what a plan does to one object.
type Change struct {
	action Action
	object Object
	detail string
}

// Action returns the planned action.
func (c Change) Action() Action { return c.action }

// Object returns the object of the action.
func (c Change) Object() Object { return c.object }

// Detail describes the change for operators. It may be empty.
func (c Change) Detail() string { return c.detail }

// Plan is the set of changes that a note would make to a configuration.
type Plan struct {
	changes []Change
	next    lentilconfig.Document
}

// Changes returns the changes in the order of the note, including those with ActionNone.
func (p Plan) Changes() []Change { return p.changes }

// Empty reports whether the plan changes nothing.
func (p Plan) Empty() bool {
	return !slices.ContainsFunc(p.changes, func(c Change) bool { return c.action != ActionNone })
}

// Next returns the configuration after the note, with the next version number. If the
// plan is empty, it returns the configuration on which the note was planned.
func (p Plan) Next() lentilconfig.Document { return p.next }

// ErrNotFound means that a note changes an object that the configuration doesn't hold.
var ErrNotFound = errors.New("the configuration doesn't hold it")

// ErrContentDiffers means that a note adds an object that the configuration already holds
// with different content.
var ErrContentDiffers = errors.New("the configuration holds it with different content")

// Plan plans the note on a document, which stays unchanged. The error wraps ErrNotFound,
// ErrContentDiffers or ErrNumbersExhausted for each object that can't be changed, or is a
// *lentilconfig.ValidationError if the resulting configuration would be invalid.
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
	plan.next = p.document().NextVersion(n.AcceptedNote()).Canonical()
	if err = plan.next.Check(); err != nil {
		return Plan{}, withNames(err, plan.next)
	}
	return plan, nil
}

// fieldPathPattern matches the path of an invalid field of a document: the list, the index
// and the rest.
var fieldPathPattern = regexp.MustCompile(`^(services|copies|domains)\[(\d+)\](.*)$`)

// withNames replaces the indexes in the paths of a *lentilconfig.ValidationError by the
// names of the objects. Operators haven't written the planned document, so indexes into it
// mean nothing to them.
func withNames(err error, document lentilconfig.Document) error {
	var invalid *lentilconfig.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	fieldErrors := slices.Clone(invalid.FieldErrors())
	for i, fieldError := range fieldErrors {
		parts := fieldPathPattern.FindStringSubmatch(fieldError.Path)
		if parts == nil {
			continue
		}
		index, err := strconv.Atoi(parts[2])
		if err != nil {
			continue
		}
		fieldErrors[i].Path = parts[1] + "[" + objectNameAt(document, parts[1], index) + "]" + parts[3]
	}
	return lentilconfig.NewValidationError(fieldErrors)
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

// serviceDoc returns the service with a placeholder number, which the planner replaces.
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

// applyTo returns the service with the fields of the change.
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

// describeServiceChange lists the fields that differ between two states of a service.
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

// assignServiceNumber returns the next number, which no service has had before, and
// increments it. It fails if there is none left.
func assignServiceNumber(next *lentilid.Service) (number lentilid.Service, ok bool) {
	if *next > lentilconfig.MaxServiceNumber {
		return 0, false
	}
	number = *next
	*next++
	return number, true
}
