package lentilfinding

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"lentilstair.example/lentilstair/pkg/lentilconfig"
)

// ReadDocument reads and scans a configuration of the HTTP/3 path. It reports false if the file
// can't be decoded.
func ReadDocument(name string, in io.Reader) (source *Source, document lentilconfig.Document, ok bool) {
	source = Read(name, in, document)
	if !source.Decodable() {
		return source, document, false
	}
	if err := json.Unmarshal(source.Data(), &document); err != nil {
		source.AddDecodeError(err)
		return source, document, false
	}
	return source, cutLists(document), true
}

// cutLists cuts each list that is too long after the first entry too many, which is enough for the
// error of the validation. The validation compares all pairs of a service's rules and returns up to
// 8 errors for each such entry: it took 39 s and 5.3 GB for a file with 3 million empty services.
func cutLists(document lentilconfig.Document) lentilconfig.Document {
	document.Services = cut(document.Services, lentilconfig.MaxServices)
	document.Copies = cut(document.Copies, lentilconfig.MaxCopies)
	document.Domains = cut(document.Domains, lentilconfig.MaxDomains)
	document.RecentNotes = cut(document.RecentNotes, lentilconfig.MaxRecentNotes)
	for i := range document.Services {
		document.Services[i].Rules = cut(document.Services[i].Rules, lentilconfig.MaxRules)
	}
	return document
}

func cut[T any](list []T, limit int) []T { return list[:min(len(list), limit+1)] }

// CheckDocument adds the findings on a decoded document to a report.
func CheckDocument(r *Report, document lentilconfig.Document) {
	var invalid *lentilconfig.ValidationError
	if err := document.Check(); errors.As(err, &invalid) {
		for _, fieldError := range invalid.FieldErrors() {
			r.add(Finding{Kind: InvalidField, Field: fieldError.Path, Reason: fieldError.Reason, Example: fieldError.Example})
		}
	} else if err != nil {
		r.add(Finding{Kind: InvalidField, Reason: shorten(err.Error())})
	}
	checkCopies(r, document)
	for i, service := range document.Services {
		checkRules(r, fmt.Sprintf("services[%d]", i), service.Rules)
	}
}

// checkCopies warns about services none of whose copies accepts new work.
func checkCopies(r *Report, document lentilconfig.Document) {
	out := make(map[string]bool)
	for _, domain := range document.Domains {
		out[domain.Name] = domain.Out
	}
	copies, working := make(map[string]int), make(map[string]int)
	for _, licensedCopy := range document.Copies {
		copies[licensedCopy.Service]++
		if !licensedCopy.Draining && !out[licensedCopy.Domain] {
			working[licensedCopy.Service]++
		}
	}
	for i, service := range document.Services {
		field := fmt.Sprintf("services[%d].name", i)
		switch {
		case copies[service.Name] == 0:
			r.addf(UnusedService, field, "%s has no copies", quote(service.Name))
		case working[service.Name] == 0:
			r.addf(NoWorkingCopy, field, "all %d copies of %s are draining or in failure domains that are out of service", copies[service.Name], quote(service.Name))
		}
	}
}

// checkRules warns about rules that have the kind of the next shorter rule which covers them.
func checkRules(r *Report, service string, rules []lentilconfig.RuleDoc) {
	for i, rule := range rules {
		covering := -1
		for j, other := range rules {
			shorter := len(other.Prefix) < len(rule.Prefix)
			// A rule covers another one if it matches the other's prefix itself, so all paths below it.
			matches := strings.HasPrefix(rule.Prefix, strings.TrimSuffix(other.Prefix, "/")+"/")
			if shorter && matches && (covering < 0 || len(other.Prefix) > len(rules[covering].Prefix)) {
				covering = j
			}
		}
		if covering >= 0 && rules[covering].Kind == rule.Kind {
			r.addf(IneffectiveRule, fmt.Sprintf("%s.rules[%d].prefix", service, i), "rule %s gives its paths the kind %s already", quote(rules[covering].Prefix), quote(rule.Kind))
		}
	}
}

// CompareDocuments sets the differences between a document and the one it is compared with, which
// against names, and adds the findings on them.
func CompareDocuments(r *Report, against string, from, to lentilconfig.Document) {
	differences := documentDifferences(from, to)
	r.SetDifferences(against, differences)
	if len(differences) > 0 && to.Version <= from.Version {
		r.addf(VersionNotHigher, "version", "version %d is not above version %d of %s", to.Version, from.Version, against)
	}
	canonical := from.Canonical()
	services := make(map[string]lentilconfig.ServiceDoc, len(from.Services))
	for _, service := range from.Services {
		services[service.Name] = service
	}
	for i, service := range to.Services {
		before, found := services[service.Name]
		r.compareNumber(fmt.Sprintf("services[%d].number", i), "service "+quote(service.Name), found, uint64(before.Number), uint64(service.Number), uint64(canonical.NextService))
	}
	domains := make(map[string]lentilconfig.DomainDoc, len(from.Domains))
	for _, domain := range from.Domains {
		domains[domain.Name] = domain
	}
	for i, domain := range to.Domains {
		before, found := domains[domain.Name]
		r.compareNumber(fmt.Sprintf("domains[%d].number", i), "failure domain "+quote(domain.Name), found, uint64(before.Number), uint64(domain.Number), uint64(canonical.NextDomain))
	}
}

// compareNumber warns if an object has another number than before, or if a new one has a number
// below next, which an earlier one had.
func (r *Report) compareNumber(field, object string, found bool, before, number, next uint64) {
	switch {
	case found && before != number:
		r.addf(NumberChanged, field, "%s has number %d, before %d", object, number, before)
	case !found && number < next:
		r.addf(NumberReused, field, "%s is new and has number %d; the lowest number that was never used is %d", object, number, next)
	}
}

// quote quotes a name from the file.
func quote(name string) string { return fmt.Sprintf("%q", shorten(name)) }
