package lentilconfig

import (
	"net/http"
	"path"
	"strings"
)

//go:generate stringer -type=RequestKind

// RequestKind says how often a request may be run and how long its answer lasts.
type RequestKind uint8

// The kinds, the strictest last.
const (
	// KindStream answers last long and may be opened again.
	KindStream RequestKind = iota + 1
	// KindRepeatable requests may be run again without harm.
	KindRepeatable
	// KindOnce requests run at most once.
	KindOnce
)

// kindsByName are the written forms of the kinds.
var kindsByName = map[string]RequestKind{
	"stream":     KindStream,
	"repeatable": KindRepeatable,
	"once":       KindOnce,
}

// Classify returns the kind of a request by its method and its decoded path. A
// path with empty or dotted segments may mean another one to an upstream that
// cleans it; the stricter of both readings counts.
func (s *Service) Classify(method, requestPath string) (kind RequestKind) {
	kind = s.classifyPath(method, requestPath)
	cleaned := path.Clean("/" + requestPath)
	if cleaned != requestPath {
		kind = max(kind, s.classifyPath(method, cleaned))
	}
	return kind
}

func (s *Service) classifyPath(method, requestPath string) (kind RequestKind) {
	longest := -1
	for _, rule := range s.doc.Rules {
		if len(rule.Prefix) > longest && matchesPrefix(requestPath, rule.Prefix) {
			longest = len(rule.Prefix)
			kind = kindsByName[rule.Kind]
		}
	}
	if kind == 0 {
		kind = defaultKind(method)
	}
	return kind
}

// matchesPrefix reports whether the path equals the prefix or goes on matchesPrefix it.
func matchesPrefix(requestPath, prefix string) bool {
	rest, found := strings.CutPrefix(requestPath, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// defaultKind returns the kind of a request that no rule covers.
func defaultKind(method string) RequestKind {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return KindRepeatable
	default:
		return KindOnce
	}
}
