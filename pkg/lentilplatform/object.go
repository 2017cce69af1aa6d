// Package lentilplatform is a client of the platform's object API: HTTP and JSON with
// the conventions of Kubernetes custom resources. Objects carry a resource version. An
// update states the resource version that it replaces, and fails with ErrConflict if
// the object was changed since. A watch is a stream of JSON events.
//
// The client has no cache. It bounds the size of every body and, if it has a Limiter, the
// rate of its calls. It counts its calls, and counts a watch as one call.
package lentilplatform

import (
	"encoding/json"
	"time"
)

//go:generate stringer -type=Kind,EventType,Reason -output=names_string.go

// Kind is a kind of object that lentilstair stores in the platform.
type Kind uint8

// The kinds of objects.
const (
	// KindHead is the one object that identifies the current configuration.
	KindHead Kind = iota + 1
	// KindShard objects hold parts of configurations. Their content never changes.
	KindShard
	// KindAudit objects record the changes made by operators.
	KindAudit
	// KindStatus objects hold merged reports of the state of lentilstair's processes.
	KindStatus
)

// APIGroup and APIVersion are the group and version of the kinds in the platform's API.
const (
	APIGroup   = "lentilstair.example"
	APIVersion = "v1"
)

// resourceNames are the names of a kind in the platform's API.
type resourceNames struct {
	plural  string // in paths
	apiKind string // in objects
}

// resources holds the names of every kind.
var resources = map[Kind]resourceNames{
	KindHead:   {plural: "configurationheads", apiKind: "ConfigurationHead"},
	KindShard:  {plural: "configurationshards", apiKind: "ConfigurationShard"},
	KindAudit:  {plural: "auditrecords", apiKind: "AuditRecord"},
	KindStatus: {plural: "fleetstatuses", apiKind: "FleetStatus"},
}

// Kinds returns all kinds, in the order of their numbers.
func Kinds() []Kind { return []Kind{KindHead, KindShard, KindAudit, KindStatus} }

// Plural returns the plural name of the kind, which is used in paths.
func (k Kind) Plural() string { return resources[k].plural }

// APIKind returns the name of the kind in an object's "kind" field.
func (k Kind) APIKind() string { return resources[k].apiKind }

// MaxObjectSize is the maximum size of an encoded object in bytes.
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

// NewObject returns an object without a resource version. The body is a JSON value.
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

// ResourceVersion returns the object's resource version, an opaque text. Only the platform
// may compare resource versions by order.
func (o Object) ResourceVersion() string { return o.resourceVersion }

// Created returns the time at which the platform first stored the object.
func (o Object) Created() time.Time { return o.created }

// Body returns the JSON value, or nil for an object from ListMetadata. The caller must
// not change it.
func (o Object) Body() json.RawMessage { return o.body }

// EventType is the type of an event of a watch.
type EventType uint8

// The types of events.
const (
	// EventAdded reports a new object.
	EventAdded EventType = iota + 1
	// EventModified reports a changed object.
	EventModified
	// EventDeleted reports the last state of a deleted object.
	EventDeleted
	// EventBookmark reports only the resource version that the watch has reached.
	EventBookmark
)

// Event is one event of a watch.
type Event struct {
	eventType EventType
	object    Object
}

// Type returns the type of the event.
func (e Event) Type() EventType { return e.eventType }

// Object returns the object. The object of a bookmark has only a resource version.
func (e Event) Object() Object { return e.object }

// ObjectDoc is the JSON form of an object.
type ObjectDoc struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   MetadataDoc     `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// MetadataDoc is the JSON form of an object's metadata.
type MetadataDoc struct {
	Name              string     `json:"name"`
	ResourceVersion   string     `json:"resourceVersion,omitempty"`
	CreationTimestamp *time.Time `json:"creationTimestamp,omitempty"`
}

// ListDoc is the JSON form of one page of a list.
type ListDoc struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   ListMetadataDoc `json:"metadata"`
	Items      []ObjectDoc     `json:"items"`
}

// ListMetadataDoc is the JSON form of the metadata of a list.
type ListMetadataDoc struct {
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// Continue is the token to request the next page. It is empty on the last page.
	Continue string `json:"continue,omitempty"`
}

// EventDoc is the JSON form of an event of a watch.
type EventDoc struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// StatusDoc is the JSON form of a status object. The platform sends one with an error
// response, in an error event and in response to a deletion.
type StatusDoc struct {
	APIVersion string `json:"apiVersion"`
	Kind       string `json:"kind"`
	Status     string `json:"status"`
	Message    string `json:"message"`
	Reason     string `json:"reason"`
	Code       int    `json:"code"`
}

// PartialListMediaType is the media type that requests a list with metadata only.
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

// NewStoredObject returns an object with a resource version, as read from a platform. It
// is for stand-ins and tests.
func NewStoredObject(kind Kind, name, version string, body json.RawMessage) Object {
	return Object{kind: kind, name: name, resourceVersion: version, body: body}
}
