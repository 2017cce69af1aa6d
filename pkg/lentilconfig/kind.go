package lentilconfig

import (
	"net/http"
	"path"
	"strings"
)

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

// kindNames are the written forms of the kinds.
var kindNames = map[string]Kind{
	"stream":     KindStream,
	"repeatable": KindRepeatable,
	"once":       KindOnce,
}

// Classify returns the kind of a request by its method and its decoded path. A
// path with empty or dotted segments may mean another one to an upstream that
// cleans it; the stricter of both readings counts.
func (s *Service) Classify(method, requestPath string) (kind Kind) {
	kind = s.classify(method, requestPath)
	cleaned := path.Clean("/" + requestPath)
	if cleaned != requestPath {
		kind = max(kind, s.classify(method, cleaned))
	}
	return kind
}

func (s *Service) classify(method, requestPath string) (kind Kind) {
	longest := -1
	for _, rule := range s.doc.Rules {
		if len(rule.Prefix) > longest && below(requestPath, rule.Prefix) {
			longest = len(rule.Prefix)
			kind = kindNames[rule.Kind]
		}
	}
	if kind == 0 {
		kind = methodKind(method)
	}
	return kind
}

// below reports whether the path equals the prefix or goes on below it.
func below(requestPath, prefix string) bool {
	rest, found := strings.CutPrefix(requestPath, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// methodKind returns the kind of a request that no rule covers.
func methodKind(method string) Kind {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return KindRepeatable
	default:
		return KindOnce
	}
}
