package lentilevent

import (
	"fmt"
	"strings"

	"github.com/phuslu/log"

	"lentilstair.example/lentilstair/internal/lentilcode"
)

//go:generate stringer -type=Event -output=event_string.go
//go:generate stringer -type=Level -output=level_string.go

// Level is the severity of an event.
type Level uint8

// The levels. In order of severity they are Debug, Info, Warn and Error. The zero Level is Info.
const (
	Info Level = iota
	Warn
	Error
	Debug
)

// ParseLevel returns the level with the given name in lower case, or Info and false if
// there is none.
func ParseLevel(name string) (level Level, ok bool) {
	for _, level := range []Level{Debug, Info, Warn, Error} {
		if strings.ToLower(level.String()) == name {
			return level, true
		}
	}
	return Info, false
}

func (l Level) libraryLevel() log.Level {
	switch l {
	case Debug:
		return log.DebugLevel
	case Warn:
		return log.WarnLevel
	case Error:
		return log.ErrorLevel
	default:
		return log.InfoLevel
	}
}

// Event is the number of an event. Numbers are stable: add new ones at the end
// of their block, and leave a gap for a removed one.
type Event uint16

// Events of every process.
const (
	Started Event = iota + 2001
	Ready
	NotReady
	StopAsked
	StopForced
	Stopped
	StopFailed
	CertificateLoaded
	CertificateRefused
	AdminFailed
	SettingsChecked
	SettingsRefused
	LinesDropped
)

// Events about packets.
const (
	PacketRefused Event = iota + 2101
	TunnelRefused
	PlaceRefused
	ServiceMismatch
	SocketFailed
)

// Events about configuration, announcements and peers.
const (
	ConfigurationInForce Event = iota + 2201
	ConfigurationRefused
	PlatformDown
	PlatformBack
	DomainOut
	DomainBack
	ControlFailed
	CopyUnlisted
)

// Events about copies and requests.
const (
	CopyWarming Event = iota + 2301
	CopyReady
	CopyCold
	CopyDraining
	OutcomeUnknown
	RequestHedged
)

// Events about packet flows.
const (
	FlowPlaced Event = iota + 2401
	FlowSought
	FlowTaken
	FlowOpen
	FlowRefused
	FlowDenied
	FlowReset
	FlowDropped
	AgentNoted
	UpstreamNoted
	PeersRead
	StoreLost
	StoreRegained
	RegistrationRefused
	PeerForgotten
	FlowHeld
	StoreReturned
	StoreEraIgnored
	EntryRenewed
	DomainKeptOut
	FlowRelayed
	LinkFull
	LinkFree
	QueueHeld
	FlowHedged
	FlowSoughtByKey
	DrainAdvanced
	LedgerRestored
	EntryLost
)

// Code returns the code under which the event is documented, such as LE2001.
func (e Event) Code() string { return fmt.Sprintf("LE%d", uint16(e)) }

// eventDoc is the catalogue entry of an event.
type eventDoc struct {
	level  Level
	title  string
	text   string
	fields []string
}

func (e Event) doc() eventDoc { return catalogue[e] }

// Codes returns the documentation of each event, ordered by number.
func Codes() []lentilcode.Doc {
	docs := make([]lentilcode.Doc, 0, len(catalogue))
	for _, event := range sortedEvents() {
		d := event.doc()
		properties := []lentilcode.Property{
			{Name: "Name", Value: event.String()},
			{Name: "Level", Value: strings.ToLower(d.level.String())},
		}
		if len(d.fields) > 0 {
			properties = append(properties, lentilcode.Property{Name: "Fields", Value: strings.Join(d.fields, ", ")})
		}
		docs = append(docs, lentilcode.Doc{Code: event.Code(), Title: d.title, Text: d.text, Properties: properties})
	}
	return docs
}
