package lentilconfig

//go:generate stringer -type=Kind

// Kind says how often a request may be run and how long its answer lasts.
type Kind uint8

// The kinds, the strictest last.
const (
	// KindStream answers last long and may be opened again.
	KindStream Kind = iota + 1
	// KindRepeatable requests may be run again without harm.
	KindRepeatable
	// KindOnce requests run at most once.
	KindOnce
)
