package lentilconfig

import (
	"net/http"
	"path"
	"strings"
)

//go:generate stringer -type=RequestKind

// RequestKind says whether a request may be run more than once and whether its answer
// is a long-lived stream.
type RequestKind uint8

// Request kinds in ascending strictness. Classify relies on this order.
const (
	// KindStream requests have long-lived answers and may be opened again.
	KindStream RequestKind = iota + 1
	// KindRepeatable requests may safely be run again.
	KindRepeatable
	// KindOnce requests run at most once.
	KindOnce
)

// kindsByName maps the names that documents use to the kinds.
var kindsByName = map[string]RequestKind{
	"stream":     KindStream,
	"repeatable": KindRepeatable,
	"once":       KindOnce,
}

// Classify returns the kind of a request with the given method and decoded path. If
// the path contains empty or dotted segments, an upstream may clean it and treat it
// as another path. Classify then returns the stricter kind of the two paths.
func (s *Service) Classify(method, requestPath string) (kind RequestKind) {
	kind = s.classifyPath(method, requestPath)
	cleaned := path.Clean("/" + requestPath)
	if cleaned != requestPath {
		kind = max(kind, s.classifyPath(method, cleaned))
	}
	return kind
}

// RoutePrefix returns the prefix of the rule that decides about a path, or "" if no rule matches.
func (s *Service) RoutePrefix(requestPath string) (prefix string) {
	for _, rule := range s.doc.Rules {
		if len(rule.Prefix) > len(prefix) && matchesPrefix(requestPath, rule.Prefix) {
			prefix = rule.Prefix
		}
	}
	return prefix
}

// classifyPath returns the kind for the path as it is. The rule with the longest
// matching prefix decides.
func (s *Service) classifyPath(method, requestPath string) (kind RequestKind) {
	longestPrefix := -1
	for _, rule := range s.doc.Rules {
		if len(rule.Prefix) > longestPrefix && matchesPrefix(requestPath, rule.Prefix) {
			longestPrefix = len(rule.Prefix)
			kind = kindsByName[rule.Kind]
		}
	}
	if kind == 0 {
		kind = defaultKind(method)
	}
	return kind
}

// matchesPrefix reports whether the path equals the prefix or lies below it. Only
// complete path segments match.
func matchesPrefix(requestPath, prefix string) bool {
	rest, found := strings.CutPrefix(requestPath, prefix)
	return found && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// defaultKind returns the kind of a request that matches no rule.
func defaultKind(method string) RequestKind {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return KindRepeatable
	default:
		return KindOnce
	}
}
