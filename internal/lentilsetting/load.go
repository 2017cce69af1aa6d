package lentilsetting

import (
	"encoding/json"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	"lentilstair.example/lentilstair/internal/lentilevent"
)

// wholeFile is the path of an error that concerns no single field.
const wholeFile = "(the whole file)"

// Loader reads settings files and the files that they refer to. The zero Loader
// reads from the file system.
type Loader struct {
	// ReadFile returns the content of a file. nil means os.ReadFile.
	ReadFile func(name string) ([]byte, error)
}

// Balancer reads a balancer's settings. It returns a *ValidationError if they are invalid.
func (l Loader) Balancer(file string) (settings Balancer, err error) {
	r := l.newReader(file)
	var doc BalancerDoc
	if !r.decode(balancerFields, &doc) {
		return Balancer{}, r.err()
	}
	r.requireDistinct("controlAddress", doc.ControlAddress, "adminAddress", doc.AdminAddress)
	keys := r.readKeys(doc.Keys)
	token := r.readToken("platform.tokenFile", doc.Platform.TokenFile)
	if err = r.err(); err != nil {
		return Balancer{}, err
	}
	return Balancer{
		commonSettings: newCommonSettings(doc.Domain, doc.TunnelAddress, doc.ControlAddress, doc.AdminAddress, keys, doc.Log),
		name:           doc.Name,
		listen:         netip.MustParseAddr(doc.ListenAddress),
		platform:       Platform{url: strings.TrimSuffix(doc.Platform.URL, "/"), token: token},
		peers:          parseAddresses(doc.Peers),
		stopGrace:      durationOrDefault(doc.StopGrace, defaultStopGrace),
	}, nil
}

// Agent reads an agent's settings. It returns a *ValidationError if they are invalid.
func (l Loader) Agent(file string) (settings Agent, err error) {
	r := l.newReader(file)
	var doc AgentDoc
	if !r.decode(agentFields, &doc) {
		return Agent{}, r.err()
	}
	r.requireDistinct("controlAddress", doc.ControlAddress, "adminAddress", doc.AdminAddress)
	keys := r.readKeys(doc.Keys)
	tlsFiles := TLSDoc{CertificateFile: r.resolvePath(doc.TLS.CertificateFile), KeyFile: r.resolvePath(doc.TLS.KeyFile)}
	r.checkCertificate(tlsFiles)
	if err = r.err(); err != nil {
		return Agent{}, err
	}
	upstream, err := url.Parse(doc.Upstream)
	if err != nil {
		return Agent{}, err
	}
	return Agent{
		commonSettings: newCommonSettings(doc.Domain, doc.TunnelAddress, doc.ControlAddress, doc.AdminAddress, keys, doc.Log),
		copy:           doc.Copy,
		service:        doc.Service,
		upstream:       upstream,
		balancers:      parseAddresses(doc.Balancers),
		tls:            tlsFiles,
		drainLimit:     durationOrDefault(doc.DrainLimit, defaultDrainLimit),
		handOff:        doc.HandOff != handOffOff,
		hedge:          doc.Hedge.Percent,
	}, nil
}

// Operator reads the settings of an operator's commands. It returns a *ValidationError if they are invalid.
func (l Loader) Operator(file string) (settings Operator, err error) {
	r := l.newReader(file)
	var doc OperatorDoc
	if !r.decode(operatorFields, &doc) {
		return Operator{}, r.err()
	}
	keys := r.readKeys(doc.Keys)
	token := r.readToken("platform.tokenFile", doc.Platform.TokenFile)
	if err = r.err(); err != nil {
		return Operator{}, err
	}
	return Operator{
		author:    doc.Author,
		platform:  Platform{url: strings.TrimSuffix(doc.Platform.URL, "/"), token: token},
		balancers: parseAddresses(doc.Balancers),
		keys:      keys,
	}, nil
}

// fileReader reads one settings file and collects its errors.
type fileReader struct {
	errorCollector
	loader Loader
	file   string
}

func (l Loader) newReader(file string) *fileReader { return &fileReader{loader: l, file: file} }

// err returns a *ValidationError with the errors found so far, or nil if there are none.
func (r *fileReader) err() error {
	if len(r.fieldErrors) == 0 {
		return nil
	}
	return &ValidationError{file: r.file, fieldErrors: r.fieldErrors}
}

// decode validates the settings file and decodes its valid fields into doc. It returns
// false if the file cannot be read or parsed. Further checks make no sense then.
func (r *fileReader) decode(fields []field, doc any) (ok bool) {
	data, ok := r.readFile(wholeFile, r.file)
	if !ok {
		return false
	}
	value, err := parseJSON(data)
	if err != nil {
		r.add(NotJSON, wholeFile, "%s", err)
		return false
	}
	checkObject(&r.errorCollector, "", value, fields)
	if err = json.Unmarshal(data, doc); err != nil && len(r.fieldErrors) == 0 {
		r.add(NotJSON, wholeFile, "%s", err)
	}
	return true
}

// readFile returns the content of a file. The field is the one that refers to the file.
func (r *fileReader) readFile(field, name string) (data []byte, ok bool) {
	readFile := r.loader.ReadFile
	if readFile == nil {
		readFile = os.ReadFile
	}
	data, err := readFile(name)
	if err != nil {
		r.add(UnreadableFile, field, "%s", err)
	}
	return data, err == nil
}

// resolvePath resolves a path relative to the directory of the settings file.
func (r *fileReader) resolvePath(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(r.file), name)
}

func newCommonSettings(domain, tunnel, control, admin string, keys []Key, log LogDoc) commonSettings {
	level, _ := lentilevent.ParseLevel(log.Level)
	return commonSettings{
		domain:  domain,
		tunnel:  netip.MustParseAddrPort(tunnel),
		control: netip.MustParseAddrPort(control),
		admin:   netip.MustParseAddrPort(admin),
		keys:    keys,
		level:   level,
	}
}

// parseAddresses parses validated addresses.
func parseAddresses(texts []string) []netip.AddrPort {
	addresses := make([]netip.AddrPort, 0, len(texts))
	for _, s := range texts {
		addresses = append(addresses, netip.MustParseAddrPort(s))
	}
	return addresses
}

// durationOrDefault returns a validated duration, or defaultValue if s is empty.
func durationOrDefault(s string, defaultValue time.Duration) time.Duration {
	if s == "" {
		return defaultValue
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return defaultValue
	}
	return d
}
