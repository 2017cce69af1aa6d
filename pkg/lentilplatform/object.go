// Package lentilplatform is the client of the platform's object API: HTTP and
// JSON by the conventions of Kubernetes custom resources. Objects carry a resource
// version; an update states the version that it replaces and fails with
// ErrConflict if the object has moved on. A watch is a stream of JSON events.
//
// The client keeps no cache. It bounds the size of every body and the rate of its
// calls, and it counts each call, a watch as one.
package lentilplatform

import (
	"encoding/json"
	"time"
)

//go:generate stringer -type=Kind,EventType,Reason -output=names_string.go

// Kind is a kind of object that the system keeps in the platform.
type Kind uint8

// The kinds of objects.
const (
	// KindHead is the one object that says which configuration holds.
	KindHead Kind = iota + 1
	// KindShard objects hold parts of configurations and never change.
	KindShard
	// KindAudit objects record what operators changed.
	KindAudit
	// KindStatus objects hold merged reports of the system's own state.
	KindStatus
)

// APIGroup and APIVersion name the API of the system's own kinds.
const (
	APIGroup   = "lentilstair.example"
	APIVersion = "v1"
)

// resourceNames is how a kind is written in a path and in an object.
type resourceNames struct {
	plural  string
	apiKind string
}

// resources lists every kind.
var resources = map[Kind]resourceNames{
	KindHead:   {plural: "configurationheads", apiKind: "ConfigurationHead"},
	KindShard:  {plural: "configurationshards", apiKind: "ConfigurationShard"},
	KindAudit:  {plural: "auditrecords", apiKind: "AuditRecord"},
	KindStatus: {plural: "fleetstatuses", apiKind: "FleetStatus"},
}

// Kinds returns every kind, in the order of their numbers.
func Kinds() []Kind { return []Kind{KindHead, KindShard, KindAudit, KindStatus} }

// Plural returns how the kind is written in a path.
func (k Kind) Plural() string { return resources[k].plural }

// APIKind returns how the kind is written in an object.
func (k Kind) APIKind() string { return resources[k].apiKind }

// MaxObjectSize is the size of an object in bytes, at most.
const MaxObjectSize = 1 << 20

// Object is an object of the platform. An object without a resource version
// hasn't been stored yet.
type Object struct {
	kind            Kind
	name            string
	resourceVersion string
	created         time.Time
	body            json.RawMessage
}

// NewObject returns an object to be created. The body is a JSON value.
func NewObject(kind Kind, name string, body json.RawMessage) Object {
	return Object{kind: kind, name: name, body: body}
}

// WithBody returns the object with another body and the same resource version,
// ready for a conditional update.
func (o Object) WithBody(body json.RawMessage) Object {
	o.body = body
	return o
}

// Kind returns the object's kind.
func (o Object) Kind() Kind { return o.kind }

// Name returns the object's name, unique within its kind.
func (o Object) Name() string { return o.name }

// ResourceVersion returns the resource version: an opaque mark that only the platform
// may compare by order.
func (o Object) ResourceVersion() string { return o.resourceVersion }

// Created returns when the platform first stored the object.
func (o Object) Created() time.Time { return o.created }

// Body returns the JSON value, or nil in a list of names. The caller must not
// change it.
func (o Object) Body() json.RawMessage { return o.body }

// EventType says what a watch reports.
type EventType uint8

// The types of events.
const (
	// EventAdded reports a new object.
	EventAdded EventType = iota + 1
	// EventModified reports a changed object.
	EventModified
	// EventDeleted reports the last state of an object that is gone.
	EventDeleted
	// EventBookmark reports only how far the watch has come.
	EventBookmark
)

// Event is one report of a watch.
type Event struct {
	eventType EventType
	object    Object
}

// Type returns what happened.
func (e Event) Type() EventType { return e.eventType }

// Object returns the object. That of a bookmark has only a resource version.
func (e Event) Object() Object { return e.object }

// ObjectDoc is the written form of an object.
type ObjectDoc struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   MetadataDoc     `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// MetadataDoc is the written form of what the platform knows about an object.
type MetadataDoc struct {
	Name              string     `json:"name"`
	ResourceVersion   string     `json:"resourceVersion,omitempty"`
	CreationTimestamp *time.Time `json:"creationTimestamp,omitempty"`
}

// ListDoc is the written form of one page of a list.
type ListDoc struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   ListMetadataDoc `json:"metadata"`
	Items      []ObjectDoc     `json:"items"`
}

// ListMetadataDoc is the written form of what is known about a list.
type ListMetadataDoc struct {
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// Continue asks for the next page; empty on the last one.
	Continue string `json:"continue,omitempty"`
}

// EventDoc is the written form of an event of a watch.
type EventDoc struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// StatusDoc is the written form of a refusal.
type StatusDoc struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Status     string `json:"status"`
	Message    string `json:"message"`
	Reason     string `json:"reason"`
	Code       int    `json:"code"`
}

// PartialListMediaType is the media type that asks for a list of metadata only.
const PartialListMediaType = "application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1"

func (o Object) doc() ObjectDoc {
	return ObjectDoc{
		APIVersion: APIGroup + "/" + APIVersion,
		Kind:       o.kind.APIKind(),
		Metadata:   MetadataDoc{Name: o.name, ResourceVersion: o.resourceVersion},
		Spec:       o.body,
	}
}

func (d ObjectDoc) object(kind Kind) Object {
	object := Object{kind: kind, name: d.Metadata.Name, resourceVersion: d.Metadata.ResourceVersion, body: d.Spec}
	if d.Metadata.CreationTimestamp != nil {
		object.created = *d.Metadata.CreationTimestamp
	}
	return object
}

// NewStoredObject returns an object as a platform holds it, for stand-ins and tests.
func NewStoredObject(kind Kind, name, version string, body json.RawMessage) Object {
	return Object{kind: kind, name: name, resourceVersion: version, body: body}
}
