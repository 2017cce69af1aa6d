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

// wholeFile stands for the path of a field where no single field is meant.
const wholeFile = "(the whole file)"

// Loader reads settings and the files that they name. The zero Loader reads
// from the file system.
type Loader struct {
	// ReadFile returns the content of a file; nil means os.ReadFile.
	ReadFile func(name string) ([]byte, error)
}

// Balancer reads a balancer's settings. The error is *Faults if they have any.
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

// Agent reads an agent's settings. The error is *Faults if they have any.
func (l Loader) Agent(file string) (settings Agent, err error) {
	r := l.newReader(file)
	var doc AgentDoc
	if !r.decode(agentFields, &doc) {
		return Agent{}, r.err()
	}
	r.requireDistinct("controlAddress", doc.ControlAddress, "adminAddress", doc.AdminAddress)
	keys := r.readKeys(doc.Keys)
	files := TLSDoc{CertificateFile: r.resolvePath(doc.TLS.CertificateFile), KeyFile: r.resolvePath(doc.TLS.KeyFile)}
	r.checkCertificate(files)
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
		tls:            files,
		drainLimit:     durationOrDefault(doc.DrainLimit, defaultDrainLimit),
		handOff:        doc.HandOff != handOffOff,
	}, nil
}

// Operator reads an operator's settings. The error is *Faults if they have any.
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

// fileReader is one fileReader of a settings file.
type fileReader struct {
	errorCollector
	loader Loader
	file   string
}

func (l Loader) newReader(file string) *fileReader { return &fileReader{loader: l, file: file} }

// err returns all faults found so far, or nil.
func (r *fileReader) err() error {
	if len(r.fieldErrors) == 0 {
		return nil
	}
	return &ValidationError{file: r.file, fieldErrors: r.fieldErrors}
}

// decode fills doc with what is right in the file and adds a fault for what is
// wrong. It returns false if there is nothing to go on with.
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

// readFile returns the content of a file that the given field names.
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

// resolvePath returns a path that is relative to the settings file's directory.
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

func parseAddresses(written []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(written))
	for _, s := range written {
		out = append(out, netip.MustParseAddrPort(s))
	}
	return out
}

// durationOrDefault returns a checked durationOrDefault, or the fallback if none is written.
func durationOrDefault(written string, fallback time.Duration) time.Duration {
	if written == "" {
		return fallback
	}
	d, err := time.ParseDuration(written)
	if err != nil {
		return fallback
	}
	return d
}
