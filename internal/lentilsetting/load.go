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
	r := l.reading(file)
	var doc BalancerDoc
	if !r.decode(balancerFields, &doc) {
		return Balancer{}, r.err()
	}
	r.distinct("controlAddress", doc.ControlAddress, "adminAddress", doc.AdminAddress)
	keys := r.keys(doc.Keys)
	token := r.token("platform.tokenFile", doc.Platform.TokenFile)
	if err = r.err(); err != nil {
		return Balancer{}, err
	}
	return Balancer{
		common:    newCommon(doc.Domain, doc.TunnelAddress, doc.ControlAddress, doc.AdminAddress, keys, doc.Log),
		name:      doc.Name,
		listen:    netip.MustParseAddr(doc.ListenAddress),
		platform:  Platform{url: strings.TrimSuffix(doc.Platform.URL, "/"), token: token},
		peers:     addresses(doc.Peers),
		stopGrace: duration(doc.StopGrace, defaultStopGrace),
	}, nil
}

// Agent reads an agent's settings. The error is *Faults if they have any.
func (l Loader) Agent(file string) (settings Agent, err error) {
	r := l.reading(file)
	var doc AgentDoc
	if !r.decode(agentFields, &doc) {
		return Agent{}, r.err()
	}
	r.distinct("controlAddress", doc.ControlAddress, "adminAddress", doc.AdminAddress)
	keys := r.keys(doc.Keys)
	files := TLSDoc{CertificateFile: r.resolve(doc.TLS.CertificateFile), KeyFile: r.resolve(doc.TLS.KeyFile)}
	r.certificate(files)
	if err = r.err(); err != nil {
		return Agent{}, err
	}
	upstream, err := url.Parse(doc.Upstream)
	if err != nil {
		return Agent{}, err
	}
	return Agent{
		common:     newCommon(doc.Domain, doc.TunnelAddress, doc.ControlAddress, doc.AdminAddress, keys, doc.Log),
		copy:       doc.Copy,
		service:    doc.Service,
		upstream:   upstream,
		balancers:  addresses(doc.Balancers),
		tls:        files,
		drainLimit: duration(doc.DrainLimit, defaultDrainLimit),
		handOff:    doc.HandOff != handOffOff,
	}, nil
}

// Operator reads an operator's settings. The error is *Faults if they have any.
func (l Loader) Operator(file string) (settings Operator, err error) {
	r := l.reading(file)
	var doc OperatorDoc
	if !r.decode(operatorFields, &doc) {
		return Operator{}, r.err()
	}
	keys := r.keys(doc.Keys)
	token := r.token("platform.tokenFile", doc.Platform.TokenFile)
	if err = r.err(); err != nil {
		return Operator{}, err
	}
	return Operator{
		author:    doc.Author,
		platform:  Platform{url: strings.TrimSuffix(doc.Platform.URL, "/"), token: token},
		balancers: addresses(doc.Balancers),
		keys:      keys,
	}, nil
}

// reading is one reading of a settings file.
type reading struct {
	collector
	loader Loader
	file   string
}

func (l Loader) reading(file string) *reading { return &reading{loader: l, file: file} }

// err returns all faults found so far, or nil.
func (r *reading) err() error {
	if len(r.faults) == 0 {
		return nil
	}
	return &Faults{file: r.file, faults: r.faults}
}

// decode fills doc with what is right in the file and adds a fault for what is
// wrong. It returns false if there is nothing to go on with.
func (r *reading) decode(fields []field, doc any) (ok bool) {
	data, ok := r.read(wholeFile, r.file)
	if !ok {
		return false
	}
	value, err := parse(data)
	if err != nil {
		r.add(NotJSON, wholeFile, "%s", err)
		return false
	}
	checkObject(&r.collector, "", value, fields)
	if err = json.Unmarshal(data, doc); err != nil && len(r.faults) == 0 {
		r.add(NotJSON, wholeFile, "%s", err)
	}
	return true
}

// read returns the content of a file that the given field names.
func (r *reading) read(field, name string) (data []byte, ok bool) {
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

// resolve returns a path that is relative to the settings file's directory.
func (r *reading) resolve(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(r.file), name)
}

func newCommon(domain, tunnel, control, admin string, keys []Key, log LogDoc) common {
	level, _ := lentilevent.ParseLevel(log.Level)
	return common{
		domain:  domain,
		tunnel:  netip.MustParseAddrPort(tunnel),
		control: netip.MustParseAddrPort(control),
		admin:   netip.MustParseAddrPort(admin),
		keys:    keys,
		level:   level,
	}
}

func addresses(written []string) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(written))
	for _, s := range written {
		out = append(out, netip.MustParseAddrPort(s))
	}
	return out
}

// duration returns a checked duration, or the fallback if none is written.
func duration(written string, fallback time.Duration) time.Duration {
	if written == "" {
		return fallback
	}
	d, err := time.ParseDuration(written)
	if err != nil {
		return fallback
	}
	return d
}
